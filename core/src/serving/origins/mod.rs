//! Where streams began: a stream goes on only at the software version that began it, whichever
//! engine takes it, and whichever front its caller turns to.

mod software_tag;

pub use software_tag::*;
