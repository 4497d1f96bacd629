//! The command line of the daemon.

use std::path::PathBuf;

xflags::xflags! {
    /// Runs one instance of crossweir.
    cmd crossweird {
        /// The settings file.
        optional --settings path: PathBuf
        /// Checks the settings file and ends.
        optional --check
        /// Runs a node of a cell on the users' platform.  Without --settings, the file
        /// is the one that the variable CROSSWEIR_CONFIG names.
        optional --node
        /// Runs a whole cell in this process, shows one of each kind of work and ends.
        optional --embedded
    }
}
