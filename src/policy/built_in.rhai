// Urgent work starts first, services are spread, and batch work is packed.
if urgent {
    #{ class: "urgent", patience_ms: 1000, spread: 0 }
} else if kind == "service" {
    #{ class: "service", patience_ms: 10000, spread: 5 }
} else if kind == "gang" {
    #{ class: "batch", patience_ms: 60000, spread: 0 }
} else {
    #{ class: "batch", patience_ms: 120000, spread: 0 }
}
