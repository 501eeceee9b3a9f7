package load

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// processorMetric is the start of the line with a router's processor time in seconds, up
// to the value.
const processorMetric = "process_cpu_seconds_total "

// processorTime returns the processor time that the routers of Config.Metrics have used
// since their start, in total. It returns false if one of them is not available or none
// is configured.
func (c *client) processorTime(ctx context.Context) (time.Duration, bool) {
	var total time.Duration
	for _, url := range c.cfg.Metrics {
		d, ok := c.processorTimeOf(ctx, url)
		if !ok {
			return 0, false
		}
		total += d
	}
	return total, len(c.cfg.Metrics) > 0
}

// processorTimeOf returns the processor time of the router at url.
func (c *client) processorTimeOf(ctx context.Context, url string) (time.Duration, bool) {
	resp, cancel, err := c.send(ctx, http.MethodGet, url+"/metrics", "", nil, nil)
	defer cancel()
	if err != nil {
		return 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		text, ok := strings.CutPrefix(lines.Text(), processorMetric)
		if !ok {
			continue
		}
		seconds, err := strconv.ParseFloat(text, 64)
		return time.Duration(seconds * float64(time.Second)), err == nil
	}
	return 0, false
}
