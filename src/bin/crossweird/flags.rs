//! The command line of the daemon.

use std::path::PathBuf;

xflags::xflags! {
    /// Runs one node of a cell.
    cmd crossweird {
        /// The settings file; the one that the variable CROSSWEIR_CONFIG names unless given.
        optional --settings path: PathBuf
        /// Checks the settings file and ends.
        optional --check
        /// Runs a whole cell in this process, shows one of each kind of work and ends.
        optional --embedded
    }
}
