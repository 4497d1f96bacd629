//! The settings of a node: an INI file, which is checked completely before anything starts.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use ini::Ini;
use nix::sys::sysinfo;

use crate::cell::options::Options;
use crate::error::{Error, Result, SettingsFault, SettingsRule};
use crate::http::connections::Limits;
use crate::node::setting_keys::KEYS;

/// The settings of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The node's name, unique in the cell.
    pub name: String,
    /// The data hall that its VM stands in.
    pub hall: String,
    /// The CPU capacity that the VM gives the node, in thousandths of a core.
    pub millicores: u32,
    /// The bandwidth of the VM's link in each direction, in kilobits a second; none if not known.
    pub link: Option<u32>,
    /// How many file descriptors the process may have open.
    pub descriptors: u32,
    /// How much memory the VM gives the process, in megabytes.
    pub memory: u32,
    /// Which lines are logged, as filter directives of `tracing`.
    pub log: String,
    /// The address on which callers are served through the platform's interface.
    pub callers: SocketAddr,
    /// The address on which the load balancer asks whether the node takes work.
    pub ready: SocketAddr,
    /// The address on which other nodes are served.
    pub peers: SocketAddr,
    /// The address at which other nodes reach `peers`, if it differs from the bound one.
    pub advertise: Option<SocketAddr>,
    /// The address on which metrics are served.
    pub metrics: SocketAddr,
    /// The address on which the product's own API is served; none if it is not.
    pub api: Option<SocketAddr>,
    /// Addresses of nodes to ask when the store cannot be reached.
    pub seeds: Vec<SocketAddr>,
    /// The address of the store.
    pub store: SocketAddr,
    /// The address of the advice service, if there is one.
    pub advice: Option<SocketAddr>,
    /// The file that holds the operators' token; without it no call is accepted as an operator's.
    pub token_file: Option<PathBuf>,
    /// The optional parts of scheduling that are enabled.
    pub scheduling: Options,
}

/// The default filter of logged lines.
const DEFAULT_LOG: &str = "info";
/// The default CPU capacity of a node, in thousandths of a core: one whole core.
const DEFAULT_MILLICORES: u32 = 1_000;
/// The default number of file descriptors.
const DEFAULT_DESCRIPTORS: u32 = 4_096;
/// The fewest file descriptors with which a node works: for files, callers, other nodes and a few
/// workers.
const MIN_DESCRIPTORS: u32 = 256;
/// The share of the file descriptors that connections to workers may use, in percent.  The rest is
/// left for callers, other nodes, the store and files.
const WORKERS_PERCENT: u32 = 60;
/// The share of the file descriptors that connections of callers may use, in percent.  It leaves a
/// quarter for other nodes, of which there may be some 600, the store and files.
const CALLERS_PERCENT: u32 = 15;
/// The most that counts as the memory of a process if the settings do not name it, in megabytes: a
/// machine may have other processes.
const MAX_DEFAULT_MEMORY: u32 = 260;
/// The least memory with which a node works, in megabytes.
const MIN_MEMORY: u32 = 32;
/// The share of the memory that bodies of callers' requests may use, in percent.  While a job is
/// decoded and written, up to three copies of it exist.
const BODIES_PERCENT: usize = 10;
/// The bytes of a megabyte.
const MEGABYTE: usize = 1_000_000;
/// The greatest CPU capacity that the settings accept, in cores.
const MAX_CORES: f64 = 1_024.0;
/// The kilobits of a megabit.
const KILOBITS: f64 = 1_000.0;
/// The greatest bandwidth that the settings accept, in megabits a second.
const MAX_MEGABITS: f64 = 1_000_000.0;
/// The greatest value of `[scheduling] reject_after`.  Greater ones would hardly ever refuse a job.
const MAX_REJECT_AFTER: u32 = 100;

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Fails if the file cannot be read; otherwise the error lists all faults found in it.
    pub fn load(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path).map_err(|source| Error::SettingsFile {
            path: path.to_owned(),
            source,
        })?;
        Self::parse(&text, &path.display().to_string())
    }

    /// Parses and checks the text of a settings file; `file` is its name for error messages.
    ///
    /// # Errors
    /// The error lists all faults found in the text.
    pub fn parse(text: &str, file: &str) -> Result<Self> {
        let mut reader = Reader {
            file,
            ini: Ini::new(),
            faults: Vec::new(),
        };
        match Ini::load_from_str(text) {
            Ok(ini) => reader.ini = ini,
            Err(err) => {
                let detail = err.to_string();
                reader.report("", "", SettingsRule::Syntax { detail });
                return Err(Error::Settings {
                    faults: reader.faults,
                });
            }
        }
        let settings = reader.read();
        match settings {
            Some(settings) if reader.faults.is_empty() => Ok(settings),
            _ => Err(Error::Settings {
                faults: reader.faults,
            }),
        }
    }
}

impl Settings {
    /// Returns the most connections to workers that may be open at once.
    pub fn worker_connections(&self) -> usize {
        (self.descriptors * WORKERS_PERCENT / 100) as usize
    }

    /// Returns what callers' connections may hold together.
    pub fn caller_limits(&self) -> Limits {
        Limits {
            connections: (self.descriptors * CALLERS_PERCENT / 100) as usize,
            body_bytes: self.memory as usize * MEGABYTE * BODIES_PERCENT / 100,
        }
    }
}

/// Reads values from the parsed file and collects the faults in them.
struct Reader<'a> {
    file: &'a str,
    ini: Ini,
    faults: Vec<SettingsFault>,
}

impl Reader<'_> {
    fn read(&mut self) -> Option<Settings> {
        self.check_keys();
        let callers = self.address("listen", "callers");
        let ready = self.address("listen", "ready");
        let peers = self.address("listen", "peers");
        let advertise = self.optional_address("listen", "advertise");
        let metrics = self.address("listen", "metrics");
        let store = self.address("store", "address");
        let api = self.optional_address("listen", "api");
        let advice = self.optional_address("advice", "address");
        let seeds = self.addresses("peers", "seeds");
        let millicores = self.millicores();
        let link = self.link();
        let expected = "a whole number of at least 256";
        let descriptors = self.at_least(
            "descriptors",
            MIN_DESCRIPTORS,
            DEFAULT_DESCRIPTORS,
            expected,
        );
        let expected = "a whole number of at least 32";
        let memory = self.at_least("memory", MIN_MEMORY, default_memory(), expected);
        let scheduling = self.scheduling();
        self.check_distinct(&[callers, ready, peers, metrics, api]);
        Some(Settings {
            name: self.text("node", "name")?,
            hall: self.text("node", "hall")?,
            millicores,
            link,
            descriptors,
            memory,
            log: self.text("node", "log").unwrap_or(DEFAULT_LOG.to_owned()),
            callers: callers?,
            ready: ready?,
            peers: peers?,
            advertise,
            metrics: metrics?,
            seeds,
            store: store?,
            advice,
            api,
            token_file: self.text("operator", "token_file").map(PathBuf::from),
            scheduling,
        })
    }

    /// Reports unknown keys, repeated sections and missing keys.  An unknown key is a fault because
    /// it may be a misspelt one, which would have no effect.
    fn check_keys(&mut self) {
        let mut unknown = Vec::new();
        let mut sections: Vec<String> = Vec::new();
        let mut repeated = Vec::new();
        for (section, properties) in self.ini.iter() {
            let section = section.unwrap_or("");
            if sections.iter().any(|seen| seen == section) {
                repeated.push(section.to_owned());
            }
            sections.push(section.to_owned());
            for (key, _) in properties.iter() {
                if !KEYS
                    .iter()
                    .any(|known| (known.section, known.name) == (section, key))
                {
                    unknown.push((section.to_owned(), key.to_owned()));
                }
            }
        }
        // Only the first of two sections with the same name would be read.
        for section in repeated {
            let reason = "the section stands there twice";
            self.report(&section, "", SettingsRule::Contradiction { reason });
        }
        for (section, key) in unknown {
            self.report(&section, &key, SettingsRule::UnknownKey);
        }
        for key in KEYS {
            if key.required && self.text(key.section, key.name).is_none() {
                self.report(key.section, key.name, SettingsRule::Missing);
            }
        }
    }

    /// Reports two addresses to listen on that are the same.  Port 0 stands for any free port, so
    /// it may be given more than once.
    fn check_distinct(&mut self, addresses: &[Option<SocketAddr>]) {
        let given: Vec<SocketAddr> = addresses.iter().flatten().copied().collect();
        let has_duplicate = given
            .iter()
            .enumerate()
            .any(|(place, address)| address.port() != 0 && given[..place].contains(address));
        if has_duplicate {
            let reason = "two of the addresses are the same";
            self.report("listen", "", SettingsRule::Contradiction { reason });
        }
    }

    /// Returns the value of a key; none if the key is missing or its value empty.
    fn text(&self, section: &str, key: &str) -> Option<String> {
        self.ini
            .get_from(Some(section), key)
            .filter(|value| !value.is_empty())
            .map(str::to_owned)
    }

    fn millicores(&mut self) -> u32 {
        let (section, key) = ("node", "processors");
        let Some(value) = self.text(section, key) else {
            return DEFAULT_MILLICORES;
        };
        match value.parse::<f64>() {
            Ok(cores) if cores > 0.0 && cores <= MAX_CORES => (cores * 1_000.0).ceil() as u32,
            _ => {
                let expected = "a number of cores above 0 and up to 1024";
                self.report(section, key, SettingsRule::WrongType { value, expected });
                DEFAULT_MILLICORES
            }
        }
    }

    /// Returns the bandwidth of the link in kilobits a second; none if the key is missing.
    fn link(&mut self) -> Option<u32> {
        let (section, key) = ("node", "link");
        let value = self.text(section, key)?;
        match value.parse::<f64>() {
            Ok(megabits) if megabits > 0.0 && megabits <= MAX_MEGABITS => {
                Some((megabits * KILOBITS).ceil() as u32)
            }
            _ => {
                let expected = "a number of Mbit/s above 0 and up to 1000000";
                self.report(section, key, SettingsRule::WrongType { value, expected });
                None
            }
        }
    }

    /// Returns a whole number of the section `node`; `otherwise` if the key is missing.  The number
    /// must be `min` or more, which `expected` says in words.
    fn at_least(&mut self, key: &str, min: u32, otherwise: u32, expected: &'static str) -> u32 {
        let Some(value) = self.text("node", key) else {
            return otherwise;
        };
        match value.parse() {
            Ok(number) if number >= min => number,
            _ => {
                self.report("node", key, SettingsRule::WrongType { value, expected });
                otherwise
            }
        }
    }

    fn scheduling(&mut self) -> Options {
        Options {
            worker_speed: self.flag("scheduling", "worker_speed"),
            shares: self.flag("scheduling", "shares"),
            advice_planning: self.flag("scheduling", "advice_planning"),
            reject_after: self.reject_after(),
            reject_late: self.flag("scheduling", "reject_late"),
        }
    }

    /// Returns whether a flag is set; false if the key is missing.
    fn flag(&mut self, section: &str, key: &str) -> bool {
        match self.text(section, key).as_deref() {
            Some("yes") => true,
            Some("no") | None => false,
            Some(value) => {
                let (value, expected) = (value.to_owned(), "`yes` or `no`");
                self.report(section, key, SettingsRule::WrongType { value, expected });
                false
            }
        }
    }

    fn reject_after(&mut self) -> Option<u32> {
        let (section, key) = ("scheduling", "reject_after");
        let value = self.text(section, key)?;
        let factor = value.parse().ok();
        let factor = factor.filter(|factor| (1..=MAX_REJECT_AFTER).contains(factor));
        if factor.is_none() {
            let expected = "a whole number from 1 to 100";
            self.report(section, key, SettingsRule::WrongType { value, expected });
        }
        factor
    }

    fn address(&mut self, section: &str, key: &str) -> Option<SocketAddr> {
        let value = self.text(section, key)?;
        let address = value.parse().ok();
        if address.is_none() {
            self.report_invalid_address(section, key, value);
        }
        address
    }

    fn optional_address(&mut self, section: &str, key: &str) -> Option<SocketAddr> {
        self.text(section, key)?;
        self.address(section, key)
    }

    fn addresses(&mut self, section: &str, key: &str) -> Vec<SocketAddr> {
        let text = self.text(section, key).unwrap_or_default();
        let mut addresses = Vec::new();
        for part in text
            .split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty())
        {
            match part.parse() {
                Ok(address) => addresses.push(address),
                Err(_) => self.report_invalid_address(section, key, part.to_owned()),
            }
        }
        addresses
    }

    fn report_invalid_address(&mut self, section: &str, key: &str, value: String) {
        let expected = "an IP number and port";
        self.report(section, key, SettingsRule::WrongType { value, expected });
    }

    fn report(&mut self, section: &str, key: &str, rule: SettingsRule) {
        self.faults.push(SettingsFault {
            file: self.file.to_owned(),
            section: section.to_owned(),
            key: key.to_owned(),
            rule,
        });
    }
}

/// Returns the memory that a process may have if the settings do not name it, in megabytes.
fn default_memory() -> u32 {
    match sysinfo::sysinfo() {
        Ok(info) => {
            let megabytes = info.ram_total() / MEGABYTE as u64;
            let most = u64::from(MAX_DEFAULT_MEMORY);
            megabytes.clamp(u64::from(MIN_MEMORY), most) as u32
        }
        Err(err) => {
            tracing::warn!(%err, "cannot read how much memory the machine has");
            MAX_DEFAULT_MEMORY
        }
    }
}
