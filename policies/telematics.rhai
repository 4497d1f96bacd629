// Fault summaries first; tracking spread over halls; yield reports packed and patient.
if urgent {
    #{ class: "urgent", patience_ms: 1000, spread: 0 }
} else if kind == "service" {
    #{ class: "service", patience_ms: 5000, spread: 8 }
} else if tasks > 500 {
    #{ class: "batch", patience_ms: 3600000, spread: 0 }
} else {
    #{ class: "batch", patience_ms: 600000, spread: 0 }
}
