//! Reports and probes, as the settings name them.

use foldmux::interface::{Class, Time};
use foldmux_reports::{Fields, Setup};
use serde::Deserialize;

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Report {
    /// `answers`: in answers and in what probes find; `probe`: in that alone; `none`.
    #[serde(default)]
    how: String,
    #[serde(default)]
    names: Vec<String>,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Charges {
    /// Taken off for one probe a request.
    #[serde(default)]
    probe: f64,
}

impl Report {
    /// A word that no deployment has yet counts as none. A probe may take as long as a dial.
    pub fn setup(self, probes: bool, charges: &Charges, classes: &[Class], patience: Time) -> Setup {
        let told = matches!(self.how.as_str(), "answers" | "probe");
        Setup {
            fields: Fields::new(self.names.iter().filter(|_| told)),
            in_answers: self.how == "answers",
            probes,
            // Placing by crowding was measured and gains nothing (docs/design/deployments.md).
            acted_on: false,
            price: charges.probe,
            patience,
            least_aim: classes.iter().map(|class| class.aim).min().unwrap_or(0),
        }
    }
}
