//! The settings of a node: an INI file, checked as a whole before anything starts.

use std::net::SocketAddr;
use std::path::Path;

use ini::Ini;

use crate::error::{Error, Result, SettingsFault, SettingsRule};

/// The settings of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The node's name, unique in the cell.
    pub name: String,
    /// The hall that its VM stands in.
    pub hall: String,
    /// Which lines are logged, in the directives of `tracing`.
    pub log: String,
    /// Where callers are served.
    pub callers: SocketAddr,
    /// Where the balancer asks whether the node takes work.
    pub ready: SocketAddr,
    /// Where other nodes are served.
    pub peers: SocketAddr,
    /// Where counters and histograms are served.
    pub metrics: SocketAddr,
    /// Nodes to ask when the store is not reached.
    pub seeds: Vec<SocketAddr>,
    /// The store.
    pub store: SocketAddr,
    /// The advice service, if there is one.
    pub advice: Option<SocketAddr>,
}

/// Every section with its keys, and whether the key must be given.
const KEYS: &[(&str, &str, bool)] = &[
    ("node", "name", true),
    ("node", "hall", true),
    ("node", "log", false),
    ("listen", "callers", true),
    ("listen", "ready", true),
    ("listen", "peers", true),
    ("listen", "metrics", true),
    ("peers", "seeds", false),
    ("store", "address", true),
    ("advice", "address", false),
];

/// The lines that are logged if the settings do not say.
const DEFAULT_LOG: &str = "info";

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
        let advice = match self.text("advice", "address") {
            Some(_) => self.address("advice", "address"),
            None => None,
        };
        let seeds = self.addresses("peers", "seeds");
        self.check_distinct(&[callers, ready, peers, metrics]);
        Some(Settings {
            name: self.text("node", "name")?,
            hall: self.text("node", "hall")?,
            log: self.text("node", "log").unwrap_or(DEFAULT_LOG.to_owned()),
            callers: callers?,
            ready: ready?,
            peers: peers?,
            metrics: metrics?,
            seeds,
            store: store?,
            advice,
        })
    }

    /// Unknown keys are faults: they are ours to know, and a misspelt one has no effect.
    fn check_keys(&mut self) {
        let mut unknown = Vec::new();
        for (section, properties) in self.ini.iter() {
            let section = section.unwrap_or("");
            for (key, _) in properties.iter() {
                if !KEYS
                    .iter()
                    .any(|known| (known.0, known.1) == (section, key))
                {
                    unknown.push((section.to_owned(), key.to_owned()));
                }
            }
        }
        for (section, key) in unknown {
            self.fault(&section, &key, SettingsRule::UnknownKey);
        }
        for &(section, key, required) in KEYS {
            if required && self.text(section, key).is_none() {
                self.fault(section, key, SettingsRule::Missing);
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

    fn address(&mut self, section: &str, key: &str) -> Option<SocketAddr> {
        let value = self.text(section, key)?;
        let address = value.parse().ok();
        if address.is_none() {
            self.not_an_address(section, key, value);
        }
        address
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
