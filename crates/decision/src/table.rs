//! A lookup table in the manner of Maglev: every backend fills entries in an order of its own, one in
//! turn, so that a change of members moves few entries. It decides nothing.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Prime sizes, so that every step visits every entry.
const SIZES: [usize; 10] = [1021, 2039, 4093, 8191, 16381, 32749, 65521, 131_071, 262_139, 1_048_573];
/// Entries per member of mean size at least: shares keep to sizes within a twelfth, and hundreds of members
/// are built in the time that a relay has when a release changes the list again and again.
const ENTRIES: usize = 12;

/// A member counts as at least this part of the largest, so that every one has entries.
const LEAST_PART: f64 = 0.02;

/// Maps hashes to member numbers.
#[derive(Debug, Default)]
pub struct Table {
    members: Vec<usize>,
    entries: Vec<u32>,
}

impl Table {
    /// Builds the table of members given as (number, id, size) in the order of their ids; entries
    /// go by size.
    pub fn build(&mut self, members: &[(usize, &str, f64)]) {
        self.members = members.iter().map(|&(i, ..)| i).collect();
        self.entries.clear();
        if members.is_empty() {
            return;
        }
        let wanted = members.len() * ENTRIES;
        let size = SIZES.into_iter().find(|&s| s >= wanted).unwrap_or(SIZES[SIZES.len() - 1]);
        let hash = |id: &str, seed| xxh3_64_with_seed(id.as_bytes(), seed) as usize;
        let start = |id: &str| (hash(id, 1) % size, 1 + hash(id, 2) % (size - 1));
        let mut next: Vec<(usize, usize)> = members.iter().map(|(_, id, _)| start(id)).collect();
        let after = |at, step| if at + step < size { at + step } else { at + step - size };
        let mut entries = vec![u32::MAX; size];
        let largest = members.iter().fold(f64::MIN_POSITIVE, |most, (.., size)| most.max(*size));
        let mut due = vec![0.0; members.len()];
        let mut filled = 0;
        for turn in (0..members.len()).cycle() {
            // In each round the largest takes an entry; a smaller one takes its part of the rounds.
            due[turn] += (members[turn].2 / largest).max(LEAST_PART);
            if due[turn] < 1.0 {
                continue;
            }
            due[turn] -= 1.0;
            let (mut at, step) = next[turn];
            while entries[at] != u32::MAX {
                at = after(at, step);
            }
            entries[at] = members[turn].0 as u32;
            next[turn] = (after(at, step), step);
            filled += 1;
            if filled == size {
                break;
            }
        }
        self.entries = entries;
    }

    /// The entry of a key under one of many hashes; none in an empty table.
    pub fn entry(&self, key: u64, seed: u64) -> Option<usize> {
        let size = self.entries.len() as u64;
        (size > 0)
            .then(|| self.entries[(xxh3_64_with_seed(&key.to_le_bytes(), seed) % size) as usize] as usize)
    }

    /// Two entries of a key, of different members where there are two.
    pub fn pair(&self, key: u64) -> Option<(usize, usize)> {
        let first = self.entry(key, 0)?;
        let seeds = 1..=ENTRIES as u64;
        let second = seeds.filter_map(|seed| self.entry(key, seed)).find(|&i| i != first);
        Some((first, second.unwrap_or(first)))
    }
}

#[cfg(test)]
mod tests {
    use super::Table;

    #[test]
    fn shares_are_even_and_a_loss_moves_little() {
        let ids: Vec<String> = (0..10).map(|i| format!("10.0.0.{i}:7000")).collect();
        let members: Vec<(usize, &str, f64)> =
            ids.iter().enumerate().map(|(i, id)| (i, id.as_str(), 1.0)).collect();
        let (mut table, mut less) = (Table::default(), Table::default());
        table.build(&members);
        less.build(&members[1..]);
        for i in 0..10 {
            let share = table.entries.iter().filter(|&&e| e == i as u32).count();
            assert!((102..=103).contains(&share), "{share}");
        }
        let kept = |(a, b): (&u32, &u32)| *a != 0 && a != b;
        let moved = table.entries.iter().zip(&less.entries).filter(|&p| kept(p)).count();
        assert!(moved < table.entries.len() / 4, "{moved}");
    }

    #[test]
    fn entries_go_by_size() {
        let mut table = Table::default();
        table.build(&[(0, "a", 2.0), (1, "b", 1.0), (2, "c", 1.0), (3, "d", 0.0)]);
        let share = |i| table.entries.iter().filter(|&&e| e == i).count() as f64 / table.entries.len() as f64;
        assert!((share(0) - 0.5).abs() < 0.02 && (share(1) - 0.25).abs() < 0.02, "{}", share(0));
        assert!(share(3) > 0.0, "even one of no size has some");
    }

    #[test]
    fn a_pair_has_two_members_and_an_empty_table_none() {
        let mut table = Table::default();
        assert_eq!(table.pair(7), None);
        table.build(&[(4, "a", 1.0), (9, "b", 1.0)]);
        for key in 0..50 {
            let (first, second) = table.pair(key).unwrap();
            assert_ne!(first, second);
        }
    }
}
