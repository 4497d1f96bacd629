//! Settings: an INI file, checked as a whole before anything starts.
//!
//! The table [`KEYS`] is the only place that knows a key's unit, bounds and
//! default; `docs/SETTINGS.md` is generated from it and a test compares the two.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use ini::Ini;

use crate::clock::Millis;
use crate::error::{Error, Result, SettingsFault, SettingsRule};
use crate::ownership::TenureLimits;

/// The section whose keys are the names of other instances.
const PEERS: &str = "peers";

/// The type of a setting, with its bounds and default.
#[derive(Debug, Clone, Copy)]
pub enum Kind {
    /// A name of letters, digits, `.`, `_` and `-`.
    Name,
    /// An IP number and a port.
    Address,
    /// A URL or a path; empty if not given.
    Text,
    /// A whole number.
    Number {
        /// The unit, as written in the reference.
        unit: &'static str,
        /// The least value allowed.
        low: u64,
        /// The greatest value allowed.
        high: u64,
        /// The value if the key is not given.
        default: u64,
    },
}

/// One setting.
#[derive(Debug, Clone, Copy)]
pub struct Key {
    /// The section.
    pub section: &'static str,
    /// The key within the section.
    pub key: &'static str,
    /// The type, with bounds and default.
    pub kind: Kind,
    /// Whether the key must be given.
    pub required: bool,
    /// What it does, one sentence.
    pub help: &'static str,
}

const fn text(
    section: &'static str,
    key: &'static str,
    kind: Kind,
    required: bool,
    help: &'static str,
) -> Key {
    Key {
        section,
        key,
        kind,
        required,
        help,
    }
}

const fn number(
    section: &'static str,
    key: &'static str,
    (unit, low, high, default): (&'static str, u64, u64, u64),
    help: &'static str,
) -> Key {
    Key {
        section,
        key,
        kind: Kind::Number {
            unit,
            low,
            high,
            default,
        },
        required: false,
        help,
    }
}

/// Every setting but the names under `[peers]`.
pub const KEYS: &[Key] = &[
    text(
        "instance",
        "name",
        Kind::Name,
        true,
        "The name of this instance, unique in the cell.",
    ),
    text(
        "instance",
        "hall",
        Kind::Name,
        true,
        "The hall that this VM stands in.",
    ),
    text(
        "instance",
        "http",
        Kind::Address,
        true,
        "Where callers and operators are served.",
    ),
    text(
        "instance",
        "rpc",
        Kind::Address,
        true,
        "Where other instances are served.",
    ),
    text(
        "instance",
        "operator_token_file",
        Kind::Text,
        false,
        "A file that holds the operators' token; without it operators' calls are refused.",
    ),
    text(
        "instance",
        "log",
        Kind::Text,
        false,
        "Directives of the log filter; `info` if not given.",
    ),
    text(
        "platform",
        "url",
        Kind::Text,
        true,
        "The base URL of the platform's store and list of VMs.",
    ),
    number(
        "platform",
        "timeout_ms",
        ("ms", 50, 30_000, 1_000),
        "How long a call to the store may take.",
    ),
    number(
        "platform",
        "poll_ms",
        ("ms", 100, 10_000, 1_000),
        "How often the list of VMs and the revisions are read.",
    ),
    number(
        "platform",
        "list_lag_ms",
        ("ms", 1_000, 600_000, 30_000),
        "By how much the list of VMs may lag behind reality.",
    ),
    number(
        "platform",
        "flush_ms",
        ("ms", 50, 5_000, 250),
        "The least time between two writes of changed records.",
    ),
    number(
        "leases",
        "window_ms",
        ("ms", 1_000, 60_000, 5_000),
        "How long a confirmation of ownership holds.",
    ),
    number(
        "leases",
        "pool_window_ms",
        ("ms", 500, 60_000, 1_500),
        "How long a confirmation of ownership holds for a group of targets.",
    ),
    number(
        "leases",
        "start_ms",
        ("ms", 500, 60_000, 2_000),
        "How long the first lease of a task runs.",
    ),
    number(
        "leases",
        "lease_ms",
        ("ms", 1_000, 300_000, 10_000),
        "How long a renewed lease of a task runs.",
    ),
    number(
        "leases",
        "renew_ms",
        ("ms", 100, 60_000, 3_000),
        "How often a worker's leases are renewed.",
    ),
    number(
        "leases",
        "drift_permille",
        ("1/1000", 0, 200, 10),
        "By how much two clocks may differ in rate.",
    ),
    number(
        "membership",
        "beat_ms",
        ("ms", 50, 10_000, 500),
        "How often other instances are sent a heartbeat.",
    ),
    number(
        "membership",
        "suspect_ms",
        ("ms", 200, 60_000, 2_000),
        "After how long a silence an instance's shards may be claimed.",
    ),
    number(
        "membership",
        "settle_ms",
        ("ms", 0, 60_000, 3_000),
        "How long the members must be unchanged before a shard is handed over.",
    ),
    number(
        "limits",
        "max_body_bytes",
        ("bytes", 1_024, 67_108_864, 1_048_576),
        "The largest body that a caller may send.",
    ),
    number(
        "limits",
        "queue_length",
        ("requests", 1, 100_000, 256),
        "How many requests may wait for one group of targets.",
    ),
    number(
        "limits",
        "default_deadline_ms",
        ("ms", 10, 600_000, 10_000),
        "The deadline of a request that names none.",
    ),
    number(
        "limits",
        "max_deadline_ms",
        ("ms", 100, 3_600_000, 600_000),
        "The longest deadline that a request may name.",
    ),
    number(
        "limits",
        "retry_percent",
        ("percent", 0, 100, 10),
        "How many retries there may be for every hundred fresh requests.",
    ),
    number(
        "limits",
        "stale_ms",
        ("ms", 1_000, 60_000, 4_000),
        "How long the configuration may go unconfirmed before new work is refused.",
    ),
    number(
        "placement",
        "max_attempts",
        ("starts", 1, 100, 5),
        "How often a task is started before its failure is final.",
    ),
    number(
        "placement",
        "seed",
        ("", 0, u64::MAX, 1),
        "The seed of everything random.",
    ),
];

/// Another instance that is known from the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerSetting {
    /// The name of the instance.
    pub name: String,
    /// Its address for other instances.
    pub rpc: SocketAddr,
}

/// The settings of one instance.
#[derive(Debug, Clone)]
pub struct Config {
    /// The name of this instance.
    pub name: String,
    /// The hall that it stands in.
    pub hall: String,
    /// Where callers and operators are served.
    pub http: SocketAddr,
    /// Where other instances are served.
    pub rpc: SocketAddr,
    /// The file that holds the operators' token.
    pub operator_token_file: Option<PathBuf>,
    /// Directives of the log filter.
    pub log: String,
    /// The base URL of the platform.
    pub platform_url: String,
    /// The instances known from the settings.
    pub peers: Vec<PeerSetting>,
    numbers: BTreeMap<(&'static str, &'static str), u64>,
}

impl Config {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Returns every fault at once in [`Error::Settings`], or
    /// [`Error::SettingsFile`] if the file cannot be read.
    pub fn load(path: &Path) -> Result<Self> {
        let source = std::fs::read_to_string(path).map_err(|source| Error::SettingsFile {
            path: path.to_owned(),
            source,
        })?;
        Self::parse(&path.display().to_string(), &source)
    }

    /// Checks settings given as text; `file` is named in faults.
    ///
    /// # Errors
    /// Returns every fault at once in [`Error::Settings`].
    pub fn parse(file: &str, source: &str) -> Result<Self> {
        let mut checker = Checker::new(file);
        let config = match Ini::load_from_str(source) {
            Ok(ini) => checker.config(&ini),
            Err(err) => {
                let detail = err.to_string();
                checker.fault("", "", SettingsRule::Syntax { detail });
                None
            }
        };
        match config {
            Some(config) if checker.faults.is_empty() => Ok(config),
            _ => Err(Error::Settings {
                faults: checker.faults,
            }),
        }
    }

    /// Returns a numeric setting.
    ///
    /// # Panics
    /// Panics if the table of keys has no such number, which a test would show.
    pub fn number(&self, section: &'static str, key: &'static str) -> u64 {
        self.numbers[&(section, key)]
    }

    /// Returns the times that ownership rests on.
    pub fn tenure_limits(&self) -> TenureLimits {
        TenureLimits {
            window: self.number("leases", "window_ms"),
            lease: self.number("leases", "lease_ms"),
            drift_permille: self.number("leases", "drift_permille"),
        }
    }

    /// Returns the times that ownership of a group of targets rests on.
    ///
    /// Targets hold no leases, so only the window counts.
    pub fn pool_limits(&self) -> TenureLimits {
        TenureLimits {
            window: self.number("leases", "pool_window_ms"),
            lease: 0,
            drift_permille: self.number("leases", "drift_permille"),
        }
    }

    /// Returns how often heartbeats are sent.
    pub fn beat(&self) -> Millis {
        self.number("membership", "beat_ms")
    }
}

struct Checker {
    file: String,
    faults: Vec<SettingsFault>,
}

impl Checker {
    fn new(file: &str) -> Self {
        Self {
            file: file.to_owned(),
            faults: Vec::new(),
        }
    }

    fn fault(&mut self, section: &str, key: &str, rule: SettingsRule) {
        self.faults.push(SettingsFault {
            file: self.file.clone(),
            section: section.to_owned(),
            key: key.to_owned(),
            rule,
        });
    }

    fn config(&mut self, ini: &Ini) -> Option<Config> {
        self.check_unknown(ini);
        let numbers = self.numbers(ini);
        let peers = self.peers(ini);
        let name = self.name(ini, "instance", "name");
        let hall = self.name(ini, "instance", "hall");
        let http = self.address(ini, "instance", "http");
        let rpc = self.address(ini, "instance", "rpc");
        let platform_url = self.required(ini, "platform", "url");
        self.check_relations(&numbers, http, rpc);
        Some(Config {
            name: name?,
            hall: hall?,
            http: http?,
            rpc: rpc?,
            operator_token_file: get(ini, "instance", "operator_token_file").map(PathBuf::from),
            log: get(ini, "instance", "log").unwrap_or("info").to_owned(),
            platform_url: platform_url?,
            peers,
            numbers,
        })
    }

    fn check_unknown(&mut self, ini: &Ini) {
        for (section, properties) in ini.iter() {
            let section = section.unwrap_or("");
            if section == PEERS || (section.is_empty() && properties.is_empty()) {
                continue;
            }
            if !KEYS.iter().any(|key| key.section == section) {
                self.fault(section, "", SettingsRule::UnknownSection);
                continue;
            }
            for (name, _) in properties.iter() {
                if !KEYS
                    .iter()
                    .any(|key| key.section == section && key.key == name)
                {
                    self.fault(section, name, SettingsRule::UnknownKey);
                }
            }
        }
    }

    fn numbers(&mut self, ini: &Ini) -> BTreeMap<(&'static str, &'static str), u64> {
        let mut numbers = BTreeMap::new();
        for key in KEYS {
            let Kind::Number {
                unit,
                low,
                high,
                default,
            } = key.kind
            else {
                continue;
            };
            let value = match get(ini, key.section, key.key) {
                Some(text) => self.number(key, text, unit, low, high).unwrap_or(default),
                None => default,
            };
            numbers.insert((key.section, key.key), value);
        }
        numbers
    }

    fn number(
        &mut self,
        key: &Key,
        text: &str,
        unit: &'static str,
        low: u64,
        high: u64,
    ) -> Option<u64> {
        let Ok(value) = text.parse::<u64>() else {
            self.wrong_type(key.section, key.key, text, "a whole number");
            return None;
        };
        if !(low..=high).contains(&value) {
            self.fault(
                key.section,
                key.key,
                SettingsRule::OutOfBounds {
                    value,
                    low,
                    high,
                    unit,
                },
            );
            return None;
        }
        Some(value)
    }

    fn peers(&mut self, ini: &Ini) -> Vec<PeerSetting> {
        let mut peers = Vec::new();
        let Some(section) = ini.section(Some(PEERS)) else {
            return peers;
        };
        for (name, address) in section.iter() {
            match address.parse() {
                Ok(rpc) => peers.push(PeerSetting {
                    name: name.to_owned(),
                    rpc,
                }),
                Err(_) => self.wrong_type(PEERS, name, address, "an IP number and port"),
            }
        }
        peers
    }

    fn required(&mut self, ini: &Ini, section: &str, key: &str) -> Option<String> {
        let value = get(ini, section, key);
        if value.is_none() {
            self.fault(section, key, SettingsRule::Missing);
        }
        value.map(str::to_owned)
    }

    fn name(&mut self, ini: &Ini, section: &str, key: &'static str) -> Option<String> {
        let value = self.required(ini, section, key)?;
        if crate::model::check_name(key, &value).is_err() {
            self.wrong_type(section, key, &value, "a name of A-Z a-z 0-9 . _ -");
            return None;
        }
        Some(value)
    }

    fn address(&mut self, ini: &Ini, section: &str, key: &str) -> Option<SocketAddr> {
        let value = self.required(ini, section, key)?;
        let address = value.parse().ok();
        if address.is_none() {
            self.wrong_type(section, key, &value, "an IP number and port");
        }
        address
    }

    fn wrong_type(&mut self, section: &str, key: &str, value: &str, expected: &'static str) {
        let value = value.to_owned();
        self.fault(section, key, SettingsRule::WrongType { value, expected });
    }

    fn check_relations(
        &mut self,
        numbers: &BTreeMap<(&'static str, &'static str), u64>,
        http: Option<SocketAddr>,
        rpc: Option<SocketAddr>,
    ) {
        let n = |section, key| numbers[&(section, key)];
        let mut require = |holds: bool, section, key, reason| {
            if !holds {
                self.fault(section, key, SettingsRule::Contradiction { reason });
            }
        };
        let same = http.is_some() && http == rpc && http.is_some_and(|addr| addr.port() != 0);
        require(!same, "instance", "rpc", "must differ from [instance] http");
        require(
            n("leases", "start_ms") <= n("leases", "lease_ms"),
            "leases",
            "start_ms",
            "must not exceed [leases] lease_ms",
        );
        require(
            2 * n("leases", "renew_ms") < n("leases", "lease_ms"),
            "leases",
            "renew_ms",
            "must be less than half of [leases] lease_ms, so that one lost renewal ends nothing",
        );
        require(
            n("leases", "renew_ms") < n("leases", "window_ms"),
            "leases",
            "window_ms",
            "must exceed [leases] renew_ms, or workers could not confirm ownership",
        );
        require(
            2 * n("membership", "beat_ms") <= n("membership", "suspect_ms"),
            "membership",
            "suspect_ms",
            "must be at least twice [membership] beat_ms",
        );
        require(
            n("limits", "default_deadline_ms") <= n("limits", "max_deadline_ms"),
            "limits",
            "default_deadline_ms",
            "must not exceed [limits] max_deadline_ms",
        );
    }
}

fn get<'a>(ini: &'a Ini, section: &str, key: &str) -> Option<&'a str> {
    ini.get_from(Some(section), key)
        .filter(|value| !value.is_empty())
}

/// Renders the reference of all settings, as `docs/SETTINGS.md` holds it.
pub fn reference() -> String {
    let mut out = String::from(
        "# Settings\n\n\
         Generated by `crossweir reference settings`; a test compares it with the code.\n\n\
         | section | key | type and bounds | default | meaning |\n\
         | --- | --- | --- | --- | --- |\n",
    );
    for key in KEYS {
        let (kind, default) = match key.kind {
            Kind::Name => (String::from("name"), String::new()),
            Kind::Address => (String::from("IP number and port"), String::new()),
            Kind::Text => (String::from("text"), String::new()),
            Kind::Number {
                unit,
                low,
                high,
                default,
            } => (
                format!("{low} to {high} {unit}").trim_end().to_owned(),
                default.to_string(),
            ),
        };
        let default = if key.required {
            String::from("required")
        } else {
            default
        };
        out.push_str(&format!(
            "| {} | {} | {kind} | {default} | {} |\n",
            key.section, key.key, key.help
        ));
    }
    out.push_str("| peers | *name of an instance* | IP number and port | | The RPC address of another instance; others are found through the store. |\n");
    out
}
