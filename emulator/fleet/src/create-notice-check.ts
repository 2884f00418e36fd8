import type {NoticeCheck} from './notice-check.ts';

/**
Requests that may be under way when an engine asks for a pause, and those that it may get within it.
*/
const cooldownSlackMs = 500;
const mostInCooldown = 2;
/**
Time after which an engine that says that it leaves gets no more requests, in milliseconds.
*/
const leaveSlackMs = 2000;

type Cooldown = {
	readonly from: number;
	readonly until: number;
	arrivals: number;
};

/**
 Creates the check of what an engine gets after it has said something of itself, by node.

 @example
 const check = createNoticeCheck();
 check.recordCooldown('n-0', 3000);
 check.recordArrival('n-0');
 check.countBroken(); // 0
 */
export function createNoticeCheck(): NoticeCheck {
	const cooldowns = new Map<string, Cooldown[]>();
	const leaves = new Map<string, number>();
	let broken = 0;

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
			leaves.set(node, leaves.get(node) ?? performance.now());
		},
		recordArrival(node) {
			for (const cooldown of listOpen(node)) {
				cooldown.arrivals++;
				broken += cooldown.arrivals === mostInCooldown + 1 ? 1 : 0;
			}

			broken += performance.now() > (leaves.get(node) ?? Infinity) + leaveSlackMs ? 1 : 0;
		},
		countBrokenNotices: () => broken,
	};
}
