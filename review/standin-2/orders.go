package main

// orderConfig is a configuration with one route, whose requests may run once only.
func orderConfig(prefix string) map[string]any {
	return map[string]any{
		"version": 1,
		"services": []any{map[string]any{
			"name": "workshop", "health-check-path": "/health", "max-connections": 26, "protocol": "h1", "tls": false, "warmup-s": 0, "warmup-per-s": 0,
		}},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"routes": []any{map[string]any{
			"name": "orders", "hostname": "flags.example", "path-prefix": prefix, "type": "non_idempotent", "timeout-ms": 3000,
			"target-latency-ms": 300, "priority": 1, "max-attempts": 2, "service": "workshop", "allowed-regions": []string{},
		}},
	}
}

// order is the head of an order.
func order(path, attempt, fields string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: flags.example\r\nX-Attempt-Id: " + attempt + "\r\nX-Deadline-Ms: 3000\r\n" + fields + "\r\n"
}
