package load

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// processorMetric is the metric of a router's own processor time, up to its value.
const processorMetric = "process_cpu_seconds_total "

// processorTime returns the sum of the routers' processor times. It returns false
// if one of them is not available.
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
