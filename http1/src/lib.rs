//! HTTP/1.1 connections for latency-sensitive paths.
//!
//! The general-purpose server and client of this workspace delay the start of a streamed
//! body. Here the caller sees the data of each read at once and decides what to forward;
//! heads are parsed by `httparse`.

mod body_decoder;
mod body_framing;
mod connection_capacity;
mod connection_listener;
mod head_error;
mod head_parser;
mod header_fields;
mod http_client;
mod idle_connections;
mod tcp_connection;
mod tcp_keepalive;

pub use {
    body_decoder::*, body_framing::*, connection_capacity::*, connection_listener::*,
    head_error::*, head_parser::*, header_fields::*, http_client::*, idle_connections::*,
    tcp_connection::*, tcp_keepalive::*,
};
