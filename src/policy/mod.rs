//! Policies as short programs, and the versioned configuration that carries them.

pub mod bundle;
pub mod program;

pub use bundle::{Bundle, VersionRow};
pub use program::{Program, ProgramError};
