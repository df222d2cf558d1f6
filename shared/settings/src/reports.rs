//! Reports and probes, as the settings name them.

use crate::section::Section;
use foldmux::interface::{Class, Time};
use foldmux_load_reports::{Fields, Setup};

/// A word that no deployment has yet counts as none. A probe may take as long as a dial (`dial_time_out`).
pub(crate) fn read(
    settings: &Section,
    probes: bool,
    classes: &[(String, Class)],
    dial_time_out: Time,
) -> Setup {
    let report = settings.optional_section("report");
    // `answers`: in answers and in what probes find; `probe`: in that alone; `none`.
    let how: String = report.optional("how").unwrap_or_default();
    let names: Vec<String> = report.optional("names").unwrap_or_default();
    let told = matches!(how.as_str(), "answers" | "probe");
    Setup {
        fields: Fields::new(names.iter().filter(|_| told)),
        in_responses: how == "answers",
        probes,
        // Selection does not go by reported load (docs/design/deployments.md).
        placement_uses_load: false,
        // Taken off for one probe a request.
        price: settings
            .optional_section("charges")
            .optional("probe")
            .unwrap_or_default(),
        probe_timeout: dial_time_out,
        min_latency_objective: classes
            .iter()
            .map(|(_, class)| class.latency_objective)
            .min()
            .unwrap_or(0),
    }
}
