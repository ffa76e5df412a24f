//! The TOML form of the configuration.

use std::ops::Range;

use serde::Deserialize;
use toml::Spanned;

use crate::state::config::Fault;
use crate::state::config::FaultKind;
use crate::state::fleet::Objective;

/// A parsed configuration file, with the byte ranges of its names.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// `[[account]]` sections.
    #[serde(default)]
    pub(super) account: Vec<AccountSection>,
    /// `[[pool]]` sections.
    #[serde(default)]
    pub(super) pool: Vec<PoolSection>,
    /// `[[service]]` sections.
    #[serde(default)]
    pub(super) service: Vec<ServiceSection>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct AccountSection {
    pub name: Spanned<String>,
    #[serde(default)]
    pub caller_key_hashes: Vec<Spanned<String>>,
    #[serde(default)]
    pub operator_key_hashes: Vec<Spanned<String>>,
    pub quota_slots: Option<u32>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct PoolSection {
    pub name: Spanned<String>,
    pub account: Spanned<String>,
    #[serde(default)]
    pub boxes: Vec<Spanned<String>>,
    #[serde(default)]
    pub shared_with: Vec<Spanned<String>>,
    pub max_out: Spanned<u32>,
    pub max_out_per_hall: Option<Spanned<u32>>,
    pub max_out_per_rack: Option<Spanned<u32>>,
    #[serde(default)]
    #[serde(rename = "weigh")]
    pub objective: Objective,
    #[serde(default = "default_drain_limit_s")]
    pub drain_limit_s: u32,
    #[serde(default = "default_maintenance_s")]
    pub maintenance_s: u32,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ServiceSection {
    pub name: Spanned<String>,
    pub account: Spanned<String>,
    pub pool: Spanned<String>,
    pub slots: Spanned<u32>,
    #[serde(default)]
    pub memory_mb: u32,
    #[serde(default)]
    pub min_up: Option<Spanned<u32>>,
}

fn default_drain_limit_s() -> u32 {
    60
}

fn default_maintenance_s() -> u32 {
    120
}

pub(super) fn parse(text: &str) -> Result<Document, Fault> {
    let parsed = toml::from_str(text);
    parsed.map_err(|error: toml::de::Error| {
        let message = error.message().into();
        Fault { kind: FaultKind::Syntax { message }, span: error.span() }
    })
}

/// Byte range of a value in the file.
pub(super) fn span_of<T>(value: &Spanned<T>) -> Option<Range<usize>> {
    Some(value.span())
}
