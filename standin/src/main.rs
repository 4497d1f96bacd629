//! The stand-in.

fn main() {}
