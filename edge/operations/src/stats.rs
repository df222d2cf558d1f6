//! The figures, one a line in the statsd form (`proxy.answered.C:812|c`, `proxy.current:14|g`), then `end`.

/// How one class's requests ended, and the attempts made for them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClassFigures {
    pub class: String,
    pub answered: u64,
    pub deferred: u64,
    pub errored: u64,
    pub sends: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    pub classes: Vec<ClassFigures>,
    pub current: u64,
    pub cluster_size: u64,
    pub cluster_unhealthy: u64,
    pub conf_loaded: u64,
    pub conf_invalid: u64,
}

impl Figures {
    /// The answer to `stats`, its `end` line with it.
    pub fn render(&self) -> String {
        let mut out = String::new();
        for c in &self.classes {
            let class = &c.class;
            for (name, count) in [
                ("answered", c.answered),
                ("deferred", c.deferred),
                ("errored", c.errored),
                ("sends", c.sends),
            ] {
                out.push_str(&format!("proxy.{name}.{class}:{count}|c\n"));
            }
        }
        for (name, value) in [
            ("current", self.current),
            ("cluster_size", self.cluster_size),
            ("cluster_unhealthy", self.cluster_unhealthy),
        ] {
            out.push_str(&format!("proxy.{name}:{value}|g\n"));
        }
        for (name, count) in [
            ("conf_loaded", self.conf_loaded),
            ("conf_invalid", self.conf_invalid),
        ] {
            out.push_str(&format!("proxy.{name}:{count}|c\n"));
        }
        out.push_str("end\n");
        out
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_figure_by_its_name_then_end() {
        let figures = Figures {
            classes: vec![ClassFigures {
                class: "mix-video".into(),
                answered: 812,
                deferred: 3,
                errored: 1,
                sends: 900,
            }],
            current: 14,
            cluster_size: 6,
            cluster_unhealthy: 1,
            conf_loaded: 2,
            conf_invalid: 1,
        };
        let text = figures.render();
        let lines: Vec<&str> = text.lines().collect();
        assert_eq!(lines[0], "proxy.answered.mix-video:812|c");
        assert!(lines.contains(&"proxy.sends.mix-video:900|c"));
        assert!(lines.contains(&"proxy.current:14|g"));
        assert!(lines.contains(&"proxy.conf_invalid:1|c"));
        assert_eq!(lines.last(), Some(&"end"));
    }
}
