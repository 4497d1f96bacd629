//! The command line of the tool.

use std::path::PathBuf;

xflags::xflags! {
    /// Speaks to a cell of crossweir.
    ///
    /// Examples:
    ///   crossweir submit report.json
    ///   crossweir --token-file token status
    ///   crossweir explain harvest.report
    cmd crossweir {
        /// The address of an instance; 127.0.0.1:8080 unless given.
        optional --address address: String
        /// The file that holds the operators' token.
        optional --token-file path: PathBuf
        /// Prints JSON instead of tables.
        optional --json

        /// Submits the job that a JSON file describes.
        cmd submit {
            /// The file.
            required file: PathBuf
        }
        /// Shows how a job stands.
        cmd job {
            /// The id: `<team>.<name>`.
            required id: String
        }
        /// Says why a job waits and what can be done.
        cmd explain {
            /// The id: `<team>.<name>`.
            required id: String
        }
        /// Cancels a job.
        cmd cancel {
            /// The id: `<team>.<name>`.
            required id: String
        }
        /// Sends a short request to a service.
        cmd request {
            /// The service.
            required service: String
            /// The body.
            required body: String
            /// The path below the service; `/` unless given.
            optional --path path: String
            /// How long to wait, in milliseconds.
            optional --deadline-ms millis: u64
            /// A key by which a repeat is recognised; the request runs at most once.
            optional --once key: String
            /// The class: urgent, service or batch.
            optional --class class: String
            /// The team that asks.
            optional --team team: String
            /// The ordered stream, together with --place.
            optional --stream stream: String
            /// The place in the stream; it begins at 1.
            optional --place number: u64
        }
        /// Shows instances, shards, epochs, queues and the freshness of the configuration.
        cmd status { }
        /// Shows the configuration in force.
        cmd configuration { }
        /// Sets the configuration that a JSON file describes.
        cmd configure {
            /// The file.
            required file: PathBuf
            /// The version that you have read; 0 before any was set.
            required expected: u64
            /// A note for other operators.
            optional --note text: String
        }
        /// Checks a settings file, as `crossweird --check` does.
        cmd check {
            /// The file.
            required file: PathBuf
        }
        /// Checks a policy program without setting it.
        cmd check-policy {
            /// The file.
            required file: PathBuf
        }
        /// Has the instance hand over its shards and take no new work.
        cmd drain { }
        /// Gathers a report for a bug.
        cmd diagnose { }
        /// Prints a reference: `settings` or `refusals`.
        cmd reference {
            /// Which.
            required what: String
        }
    }
}
