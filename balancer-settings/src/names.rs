//! Looks up the indices of classes and tenants in the settings by name.

use std::collections::HashMap;

use glenfall_balancer::{ClassId, Settings, TenantId};

/// Index of each class and tenant in the settings of one balancer, by name.
pub struct Names {
    classes: HashMap<String, usize>,
    tenants: HashMap<String, usize>,
}

impl Names {
    /// Indexes the names of these settings.
    pub fn of(settings: &Settings) -> Self {
        Names {
            classes: index(settings.classes.iter().map(|class| &class.name)),
            tenants: index(settings.tenants.iter().map(|tenant| &tenant.name)),
        }
    }

    /// The class of this name, if the settings have it.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.classes.get(name).map(|&index| ClassId(index))
    }

    /// The tenant of this name, if the settings have it.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        self.tenants.get(name).map(|&index| TenantId(index))
    }
}

fn index<'a>(names: impl Iterator<Item = &'a String>) -> HashMap<String, usize> {
    names.enumerate().map(|(index, name)| (name.clone(), index)).collect()
}
