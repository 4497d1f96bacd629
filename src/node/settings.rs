//! The settings of a node: an INI file, checked as a whole before anything starts.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use ini::Ini;

use crate::error::{Error, Result, SettingsFault, SettingsRule};
use crate::node::setting_keys::KEYS;

/// The settings of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The node's name, unique in the cell.
    pub name: String,
    /// The hall that its VM stands in.
    pub hall: String,
    /// The processors that the VM gives the node, in thousandths of a core.
    pub millicores: u32,
    /// The descriptors that the process may have open.
    pub descriptors: u32,
    /// Which lines are logged, in the directives of `tracing`.
    pub log: String,
    /// Where callers are served in the platform's manner.
    pub callers: SocketAddr,
    /// Where the balancer asks whether the node takes work.
    pub ready: SocketAddr,
    /// Where other nodes are served.
    pub peers: SocketAddr,
    /// Where counters and histograms are served.
    pub metrics: SocketAddr,
    /// Where the product's own interface is served, if it is.
    pub api: Option<SocketAddr>,
    /// Nodes to ask when the store is not reached.
    pub seeds: Vec<SocketAddr>,
    /// The store.
    pub store: SocketAddr,
    /// The advice service, if there is one.
    pub advice: Option<SocketAddr>,
    /// The file that holds the operators' token; without it nobody is an operator.
    pub token_file: Option<PathBuf>,
}

/// The lines that are logged if the settings do not say.
const DEFAULT_LOG: &str = "info";
/// The processors of a VM of which the settings say nothing: a whole core.
const DEFAULT_MILLICORES: u32 = 1_000;
/// The descriptors of a process of which the settings say nothing.
const DEFAULT_DESCRIPTORS: u32 = 4_096;
/// The least that a node works with: files, callers, other nodes, and some workers.
const LEAST_DESCRIPTORS: u32 = 256;
/// The share of the descriptors that connections to workers may take, in percent.  The rest is
/// for callers, other nodes, the store and files.
const WORKERS_PERCENT: u32 = 60;
/// The most processors that a VM may be said to give, in cores.
const MOST_CORES: f64 = 1_024.0;

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// Fails if the file cannot be read, or with all faults that it has.
    pub fn load(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path).map_err(|source| Error::SettingsFile {
            path: path.to_owned(),
            source,
        })?;
        Self::parse(&text, &path.display().to_string())
    }

    /// Checks the text of a file called `file`.
    ///
    /// # Errors
    /// Returns all faults at once.
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
                reader.fault("", "", SettingsRule::Syntax { detail });
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
    /// How many connections to workers there may be.
    pub fn worker_connections(&self) -> usize {
        (self.descriptors * WORKERS_PERCENT / 100) as usize
    }
}

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
        let metrics = self.address("listen", "metrics");
        let store = self.address("store", "address");
        let api = self.optional_address("listen", "api");
        let advice = self.optional_address("advice", "address");
        let seeds = self.addresses("peers", "seeds");
        let millicores = self.millicores();
        let descriptors = self.descriptors();
        self.check_distinct(&[callers, ready, peers, metrics, api]);
        Some(Settings {
            name: self.text("node", "name")?,
            hall: self.text("node", "hall")?,
            millicores,
            descriptors,
            log: self.text("node", "log").unwrap_or(DEFAULT_LOG.to_owned()),
            callers: callers?,
            ready: ready?,
            peers: peers?,
            metrics: metrics?,
            seeds,
            store: store?,
            advice,
            api,
            token_file: self.text("operator", "token_file").map(PathBuf::from),
        })
    }

    /// Unknown keys are faults: they are ours to know, and a misspelt one has no effect.
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
        // Only the first of two sections of one name would be read.
        for section in repeated {
            let reason = "the section stands there twice";
            self.fault(&section, "", SettingsRule::Contradiction { reason });
        }
        for (section, key) in unknown {
            self.fault(&section, &key, SettingsRule::UnknownKey);
        }
        for key in KEYS {
            if key.required && self.text(key.section, key.name).is_none() {
                self.fault(key.section, key.name, SettingsRule::Missing);
            }
        }
    }

    fn check_distinct(&mut self, addresses: &[Option<SocketAddr>]) {
        let given: Vec<SocketAddr> = addresses.iter().flatten().copied().collect();
        let twice = given
            .iter()
            .enumerate()
            .any(|(place, address)| address.port() != 0 && given[..place].contains(address));
        if twice {
            let reason = "two of the addresses are the same";
            self.fault("listen", "", SettingsRule::Contradiction { reason });
        }
    }

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
            Ok(cores) if cores > 0.0 && cores <= MOST_CORES => (cores * 1_000.0).ceil() as u32,
            _ => {
                let expected = "a number of cores above 0 and up to 1024";
                self.fault(section, key, SettingsRule::WrongType { value, expected });
                DEFAULT_MILLICORES
            }
        }
    }

    fn descriptors(&mut self) -> u32 {
        let (section, key) = ("node", "descriptors");
        let Some(value) = self.text(section, key) else {
            return DEFAULT_DESCRIPTORS;
        };
        match value.parse() {
            Ok(descriptors) if descriptors >= LEAST_DESCRIPTORS => descriptors,
            _ => {
                let expected = "a whole number of at least 256";
                self.fault(section, key, SettingsRule::WrongType { value, expected });
                DEFAULT_DESCRIPTORS
            }
        }
    }

    fn address(&mut self, section: &str, key: &str) -> Option<SocketAddr> {
        let value = self.text(section, key)?;
        let address = value.parse().ok();
        if address.is_none() {
            self.not_an_address(section, key, value);
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
                Err(_) => self.not_an_address(section, key, part.to_owned()),
            }
        }
        addresses
    }

    fn not_an_address(&mut self, section: &str, key: &str, value: String) {
        let expected = "an IP number and port";
        self.fault(section, key, SettingsRule::WrongType { value, expected });
    }

    fn fault(&mut self, section: &str, key: &str, rule: SettingsRule) {
        self.faults.push(SettingsFault {
            file: self.file.to_owned(),
            section: section.to_owned(),
            key: key.to_owned(),
            rule,
        });
    }
}
