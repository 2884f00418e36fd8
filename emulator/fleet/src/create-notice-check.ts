import type {NoticeCheck} from './notice-check.ts';

/**
Time in which requests that were sent before a cooldown may still arrive, in milliseconds, and requests allowed after it until
the cooldown ends.
*/
const cooldownSlackMs = 500;
const maximumCooldownArrivals = 2;
/**
Time in which a draining engine may still receive requests, in milliseconds.
*/
const drainingSlackMs = 2000;

type Cooldown = {
	readonly from: number;
	readonly until: number;
	arrivals: number;
};

/**
 Creates the check that nodes respect the cooldowns and the draining signal of one engine.

 @example
 const check = createNoticeCheck();
 check.recordCooldown('n-0', 3000);
 check.recordArrival('n-0');
 check.countBroken(); // 0
 */
export function createNoticeCheck(): NoticeCheck {
	const cooldowns = new Map<string, Cooldown[]>();
	const drainingSince = new Map<string, number>();
	let brokenNotices = 0;

	function listOpen(node: string): readonly Cooldown[] {
		const now = performance.now();
		const open = (cooldowns.get(node) ?? []).filter(({until}) => until > now);
		cooldowns.set(node, open);
		return open.filter(({from}) => from < now);
	}

	return {
		recordCooldown(node, milliseconds) {
			const now = performance.now();
			cooldowns.set(node, [...(cooldowns.get(node) ?? []), {from: now + cooldownSlackMs, until: now + milliseconds, arrivals: 0}]);
		},
		recordDraining(node) {
			drainingSince.set(node, drainingSince.get(node) ?? performance.now());
		},
		recordArrival(node) {
			for (const cooldown of listOpen(node)) {
				cooldown.arrivals++;
				brokenNotices += cooldown.arrivals === maximumCooldownArrivals + 1 ? 1 : 0;
			}

			brokenNotices += performance.now() > (drainingSince.get(node) ?? Infinity) + drainingSlackMs ? 1 : 0;
		},
		countBrokenNotices: () => brokenNotices,
	};
}
