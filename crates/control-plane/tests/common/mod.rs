//! Helpers that several test files share. Each file uses a part of them.
#![allow(dead_code)]
pub mod fault_schedule;
pub mod reference;
pub mod replica_group;
pub mod subscription_network;
pub mod traffic;
