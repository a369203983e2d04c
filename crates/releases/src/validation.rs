//! Validation of a model.

use crate::model::Model;
use crate::units::ordered_units;

impl Model {
    /// Checks the model; an error is the settings field at fault and the reason. Unknown names are reported by whoever
    /// reads the settings.
    pub fn validate(&self) -> Result<(), (String, String)> {
        let invalid = |field: &str, why: String| Err((field.to_string(), why));
        if self.min_tranche_s <= 0 {
            return invalid("tranche_minutes", "a tranche must take more than 0 minutes".into());
        }
        if self.tranches.is_empty() || self.buildings.is_empty() {
            return invalid("tranches", "at least one tranche and one building are required".into());
        }
        for customer in 0..self.customers.len() {
            let occurrences = self.tranches.iter().flatten().filter(|other| **other == customer).count();
            if occurrences != 1 {
                return invalid(
                    "tranches",
                    format!("customer {} is listed in {occurrences} tranches", self.customers[customer]),
                );
            }
        }
        if self.budgets.overall == 0 || self.budgets.building == 0 {
            return invalid("budgets", "with a budget of 0 no plan can finish".into());
        }
        for (edition, spec) in &self.editions {
            for dependency in &spec.dependencies {
                if dependency.min_build > dependency.max_build {
                    let why = format!(
                        "{} needs an empty range: {} to {}",
                        self.edition_name(*edition),
                        dependency.min_build,
                        dependency.max_build
                    );
                    return invalid("needs", why);
                }
                if dependency.service == edition.service {
                    return invalid(
                        "needs",
                        format!("{} needs its own service", self.edition_name(*edition)),
                    );
                }
                if self.editions_satisfying(*dependency).next().is_none() {
                    let service = &self.services[dependency.service];
                    let why = format!(
                        "{} needs {service} {} to {}, and no edition is in that range: it could never be released",
                        self.edition_name(*edition),
                        dependency.min_build,
                        dependency.max_build
                    );
                    return invalid("needs", why);
                }
            }
        }
        // All editions of a unit are in rollout at the same time, so the budgets must allow for the whole unit.
        for unit in ordered_units(self).map_err(|why| ("needs".to_string(), why))? {
            if unit.len() > self.budgets.building.min(self.budgets.overall) {
                let names: Vec<String> = unit.iter().map(|edition| self.edition_name(*edition)).collect();
                return invalid(
                    "budgets",
                    format!("{} must be released together, which exceeds a budget", names.join(" and ")),
                );
            }
        }
        for freeze in &self.freezes {
            freeze.validate().map_err(|why| ("freezes".to_string(), format!("{}: {why}", freeze.name)))?;
        }
        for exemption in &self.exemptions {
            if !self.freezes.iter().any(|freeze| freeze.name == exemption.freeze) {
                let why = format!("{}: there is no freeze {}", exemption.name, exemption.freeze);
                return invalid("exemptions", why);
            }
        }
        Ok(())
    }
}
