//! HTTP/1.1 connections for paths where each event counts.
//!
//! The general servers and clients of this workspace hold the start of a
//! streamed body back. Here a host sees each read as it comes and decides by
//! itself what goes on, while heads are parsed by `httparse`.

mod body_decoder;
mod body_framing;
mod head_error;
mod head_parser;
mod header_fields;
mod http_client;
mod path_server;
mod tcp_connection;
mod tcp_keepalive;

pub use {
    body_decoder::*, body_framing::*, head_error::*, head_parser::*, header_fields::*,
    http_client::*, path_server::*, tcp_connection::*, tcp_keepalive::*,
};
