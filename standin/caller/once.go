package caller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"bergamotbank/errkind"
)

// runOnce sends a single request and prints the response.
func (c *Command) runOnce(ctx context.Context, client *http.Client) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, c.Method, c.Once, strings.NewReader(c.Body))
	if err != nil {
		return errkind.Wrap(err, errkind.Usage, "--once %s", c.Once)
	}
	request.GetBody = nil
	setIfGiven(request, headerKey, c.Key)
	setIfGiven(request, headerRequest, c.RequestID)
	response, err := client.Do(request)
	if err != nil {
		return errkind.Wrap(err, errkind.BackendUnavailable, "no response")
	}
	defer func() { _ = response.Body.Close() }()
	fmt.Println(response.Proto, response.Status)
	_ = response.Header.Write(os.Stdout)
	fmt.Println()
	if _, err := io.Copy(os.Stdout, response.Body); err != nil {
		return errkind.Wrap(err, errkind.BackendFailed, "response is truncated")
	}
	if response.StatusCode >= http.StatusBadRequest {
		return errkind.New(errkind.BackendFailed, "response status %s", response.Status)
	}
	return nil
}

func setIfGiven(request *http.Request, name, value string) {
	if value != "" {
		request.Header.Set(name, value)
	}
}
