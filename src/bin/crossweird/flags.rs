//! The flags of the daemon.

use std::path::PathBuf;

xflags::xflags! {
    /// Runs one node of a cell.
    cmd crossweird {
        /// The settings file; the one that the variable CROSSWEIR_CONFIG names unless given.
        optional --settings path: PathBuf
        /// Checks the settings file and exits.
        optional --check
        /// Runs a whole cell in this process, runs one job of each kind on it and exits.
        optional --embedded
    }
}
