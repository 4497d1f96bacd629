// Anything short goes first; statistics yield to watchers and leave room for goals.
if estimate_ms <= 2000 && kind == "batch" {
    #{ priority: 0, spread: false }
} else if kind == "service" {
    #{ priority: 1, spread: true }
} else {
    #{ priority: 2, spread: false, quota_millicores: 1200000 }
}
