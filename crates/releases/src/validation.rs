//! What is wrong with a model.

use crate::model::Model;
use crate::units::ordered_units;

impl Model {
    /// What is wrong with it, by the field that it stands under. Names are the reader's concern.
    pub fn validate(&self) -> Result<(), (String, String)> {
        let wrong = |field: &str, why: String| Err((field.to_string(), why));
        if self.min_tranche_s <= 0 {
            return wrong("tranche_minutes", "a tranche takes some time".into());
        }
        if self.tranches.is_empty() || self.buildings.is_empty() {
            return wrong("tranches", "at least one tranche and one building are wanted".into());
        }
        for customer in 0..self.customers.len() {
            let times = self.tranches.iter().flatten().filter(|other| **other == customer).count();
            if times != 1 {
                return wrong(
                    "tranches",
                    format!("customer {} stands in {times} tranches", self.customers[customer]),
                );
            }
        }
        if self.budgets.overall == 0 || self.budgets.building == 0 {
            return wrong("budgets", "with a budget of nothing no plan can finish".into());
        }
        for (edition, plan) in &self.editions {
            for need in &plan.dependencies {
                if need.min_build > need.max_build {
                    let why = format!(
                        "{} needs an empty range: {} to {}",
                        self.edition_name(*edition),
                        need.min_build,
                        need.max_build
                    );
                    return wrong("needs", why);
                }
                if need.service == edition.service {
                    return wrong("needs", format!("{} needs its own service", self.edition_name(*edition)));
                }
                if self.editions_satisfying(*need).next().is_none() {
                    let service = &self.services[need.service];
                    let why = format!(
                        "{} needs {service} {} to {}, and no edition is in that range: it could never go out",
                        self.edition_name(*edition),
                        need.min_build,
                        need.max_build
                    );
                    return wrong("needs", why);
                }
            }
        }
        // What must move together must fit into the budgets together.
        for unit in ordered_units(self).map_err(|why| ("needs".to_string(), why))? {
            if unit.len() > self.budgets.building.min(self.budgets.overall) {
                let names: Vec<String> = unit.iter().map(|edition| self.edition_name(*edition)).collect();
                return wrong(
                    "budgets",
                    format!("{} must move together, which no budget allows", names.join(" and ")),
                );
            }
        }
        for freeze in &self.freezes {
            freeze.validate().map_err(|why| ("freezes".to_string(), format!("{}: {why}", freeze.name)))?;
        }
        for exemption in &self.exemptions {
            if !self.freezes.iter().any(|freeze| freeze.name == exemption.freeze) {
                let why = format!("{}: there is no freeze {}", exemption.name, exemption.freeze);
                return wrong("exemptions", why);
            }
        }
        Ok(())
    }
}
