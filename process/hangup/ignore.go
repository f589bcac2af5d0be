package hangup

// The C library runs constructors before the Go runtime starts, which takes a while on a busy
// machine. A signal that is ignored then stays ignored until Notify.

/*
#include <signal.h>

static void __attribute__((constructor)) ignore_hangup(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
