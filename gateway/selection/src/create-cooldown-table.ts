import type {CooldownTable} from './cooldown-table.ts';

/**
Limits what a faulty endpoint can request.
*/
const maximumCooldownMs = 300_000;

/**
 Creates the table of cooldowns. They are stored by incarnation, so changes of the endpoint's entry do not end them.

 @example
 const cooldowns = createCooldownTable();
 cooldowns.start('i-7f', 3000);
 cooldowns.getRemainingMs('i-7f'); // 3000
 */
export function createCooldownTable(): CooldownTable {
	const expiries = new Map<string, number>();

	function removeExpired(now: number): void {
		for (const [endpoint, expiresAt] of expiries) {
			if (expiresAt <= now) {
				expiries.delete(endpoint);
			}
		}
	}

	return {
		start(endpoint, milliseconds) {
			const now = performance.now();
			removeExpired(now);
			const expiresAt = now + Math.min(maximumCooldownMs, milliseconds);
			expiries.set(endpoint, Math.max(expiresAt, expiries.get(endpoint) ?? expiresAt));
		},
		getRemainingMs(endpoint) {
			const expiresAt = expiries.get(endpoint);
			return expiresAt === undefined ? 0 : Math.max(0, expiresAt - performance.now());
		},
	};
}
