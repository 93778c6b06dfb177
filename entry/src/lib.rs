//! The entry process: a filter chain for requests, controllers for state, and
//! the command line for operators.

pub mod callers;
pub mod cli;
pub mod command;
pub mod conf;
pub mod control;
pub mod explain;
pub mod filter;
pub mod front;
pub mod idempotency;
pub mod openai;
pub mod operators;
pub mod traffic;
