import type {CooldownTable} from './cooldown-table.ts';

/**
Bounds what a broken endpoint can ask for, in milliseconds.
*/
const longestCooldownMs = 300_000;

/**
 Creates the table of cooldowns. They belong to a process and are kept by its incarnation, whatever becomes of its entry.

 @example
 const cooldowns = createCooldownTable();
 cooldowns.start('i-7f', 3000);
 cooldowns.getRemainingMs('i-7f'); // 3000
 */
export function createCooldownTable(): CooldownTable {
	const ends = new Map<string, number>();

	function removeEnded(now: number): void {
		for (const [endpoint, endsAt] of ends) {
			if (endsAt <= now) {
				ends.delete(endpoint);
			}
		}
	}

	return {
		start(endpoint, milliseconds) {
			const now = performance.now();
			removeEnded(now);
			const endsAt = now + Math.min(longestCooldownMs, milliseconds);
			ends.set(endpoint, Math.max(endsAt, ends.get(endpoint) ?? endsAt));
		},
		getRemainingMs(endpoint) {
			const endsAt = ends.get(endpoint);
			return endsAt === undefined ? 0 : Math.max(0, endsAt - performance.now());
		},
	};
}
