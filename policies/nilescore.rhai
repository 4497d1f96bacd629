// Anything short counts as urgent; statistics yield to watchers.
let short = runtime_ms >= 0 && runtime_ms <= 2000;
if urgent || (short && tasks <= 50) {
    #{ class: "urgent", patience_ms: 300, spread: 0 }
} else if kind == "service" {
    #{ class: "service", patience_ms: 1000, spread: 5 }
} else {
    #{ class: "batch", patience_ms: 60000, spread: 0 }
}
