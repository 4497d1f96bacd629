//! The keys of a node's settings, with their meanings, and the reference page made from them.

/// One key of the settings file.
pub struct Key {
    /// The section that it belongs to.
    pub section: &'static str,
    /// The name of the key within the section.
    pub name: &'static str,
    /// The kind of its value, for the reference page.
    kind: &'static str,
    /// The key must be given.
    pub required: bool,
    /// What the key means, for the reference page.
    meaning: &'static str,
}

/// The kind of a value that is an address.
const ADDRESS: &str = "IP number and port";

/// The kind of a value that switches something on or off.
const FLAG: &str = "yes or no";

/// All keys, in the order of the reference page.
pub const KEYS: &[Key] = &[
    required(
        "node",
        "name",
        "text",
        "The node's name, unique in the cell.",
    ),
    required(
        "node",
        "hall",
        "text",
        "The data hall that the VM stands in.",
    ),
    optional(
        "node",
        "processors",
        "number",
        "CPU cores that the VM gives the node, fractions allowed; 1 if not given.  The nodes with the most own the cell first, as far as their links allow.",
    ),
    optional(
        "node",
        "link",
        "number",
        "Mbit/s that the VM's link carries for the node in each direction, fractions allowed; of a link that is shared with other processes, the node's part.  Not known, and not limiting, if not given.",
    ),
    optional(
        "node",
        "descriptors",
        "number",
        "File descriptors that the process may have open; 4096 if not given.  Connections to workers take up to 60% of them, those of callers up to 15%; the owner of the cell needs three for each worker.",
    ),
    optional(
        "node",
        "memory",
        "number",
        "Megabytes of memory that the process may have; those of the machine if not given, and 260 at most.  Bodies of callers' requests take up to 10% of them.",
    ),
    optional(
        "node",
        "log",
        "text",
        "Which lines are logged, as filter directives of `tracing`; `info` if not given.",
    ),
    required(
        "listen",
        "callers",
        ADDRESS,
        "Where callers are served through the interface of the users' platform.",
    ),
    required(
        "listen",
        "ready",
        ADDRESS,
        "Where the load balancer asks whether the node takes work.",
    ),
    required("listen", "peers", ADDRESS, "Where other nodes are served."),
    optional(
        "listen",
        "advertise",
        ADDRESS,
        "Where other nodes reach `peers` if that is not the address itself, as behind a proxy.",
    ),
    required(
        "listen",
        "metrics",
        ADDRESS,
        "Where counters and histograms are served.",
    ),
    optional(
        "listen",
        "api",
        ADDRESS,
        "Where the product's own API is served, which the command `crossweir` calls.",
    ),
    optional(
        "peers",
        "seeds",
        "addresses with commas",
        "Nodes to ask when the store cannot be reached.",
    ),
    required("store", "address", ADDRESS, "The platform's store."),
    optional(
        "advice",
        "address",
        ADDRESS,
        "The advice service; queues that need advice wait without it.",
    ),
    optional(
        "scheduling",
        "worker_speed",
        FLAG,
        "Learns how fast each worker is, and places urgent work by it; `no` if not given.",
    ),
    optional(
        "scheduling",
        "shares",
        FLAG,
        "When room is contended, workspaces of one priority share it by weight; `no` if not given.",
    ),
    optional(
        "scheduling",
        "advice_planning",
        FLAG,
        "Asks the advice service only about steps that can start soon; `no` if not given.",
    ),
    optional(
        "scheduling",
        "reject_after",
        "whole number",
        "Refuses a job that is expected to take more than this many times what its queue grants, 1 to 100; never if not given.",
    ),
    optional(
        "scheduling",
        "reject_late",
        "yes or no",
        "Refuses a job at once that can't end in the time that its queue grants, since the owner can send no more starts; `no` if not given.",
    ),
    optional(
        "operator",
        "token_file",
        "path",
        "A file that holds the operators' token; without it their calls are refused.",
    ),
];

const fn required(
    section: &'static str,
    name: &'static str,
    kind: &'static str,
    meaning: &'static str,
) -> Key {
    Key {
        section,
        name,
        kind,
        required: true,
        meaning,
    }
}

const fn optional(
    section: &'static str,
    name: &'static str,
    kind: &'static str,
    meaning: &'static str,
) -> Key {
    Key {
        required: false,
        ..required(section, name, kind, meaning)
    }
}

/// Renders the reference page of all settings, which is kept as `docs/SETTINGS.md`.
pub fn reference() -> String {
    let mut out = String::from(
        "# Settings\n\nGenerated by `crossweir reference settings`; a test compares it with the code.\n\
         Port 0 takes any free port; the line `node listens` in the log tells which.\n\n\
         | section | key | value | required | meaning |\n| --- | --- | --- | --- | --- |\n",
    );
    for key in KEYS {
        let required = if key.required { "yes" } else { "no" };
        out.push_str(&format!(
            "| {} | {} | {} | {required} | {} |\n",
            key.section, key.name, key.kind, key.meaning
        ));
    }
    out
}
