// Fault summaries first; tracking spread; yield reports packed, the large ones last.
if queue_priority == 0 {
    #{ priority: 0, spread: false }
} else if kind == "service" {
    #{ priority: 1, spread: true }
} else if tasks > 500 {
    #{ priority: 9, spread: false }
} else {
    #{ priority: 5, spread: false }
}
