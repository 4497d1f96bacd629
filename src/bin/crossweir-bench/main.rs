//! The experiment tool.

fn main() {}
