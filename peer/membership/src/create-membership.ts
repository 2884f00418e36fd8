import Emittery from 'emittery';
import type {Vm} from '@valvesaddle/types';
import type {Membership} from './membership.ts';
import type {MembershipEvents} from './membership-events.ts';
import type {MembershipOptions} from './membership-options.ts';

/**
Fraction of the poll interval over which reads are spread, so that nodes do not read at the same time.
*/
const jitterFraction = 0.2;

/**
 Creates the membership of a node.

 @example
 const membership = createMembership({self, vmList, pollMs: 1000, suspectMs: 3000, metrics});
 await membership.start();
 */
export function createMembership(options: MembershipOptions): Membership {
	const events = new Emittery<MembershipEvents>();
	const suspects = new Map<string, number>();
	const leavingNodes = new Set<string>();
	let vms: readonly Vm[] = [options.self];
	let leavingEndpoints: ReadonlySet<string> = new Set();
	let timer: NodeJS.Timeout | undefined;
	let isClosed = false;
	let lastSnapshot = '';

	function isSuspect(node: string): boolean {
		const suspectedAt = suspects.get(node);
		return suspectedAt !== undefined && Date.now() - suspectedAt < options.suspectMs;
	}

	function getRouters(region?: string): readonly string[] {
		const routers = vms.filter(({id, role, state}) => role === 'router' && state === 'live' && !leavingNodes.has(id) && !isSuspect(id));
		const inRegion = routers.filter(vm => vm.region === region);
		return (inRegion.length > 0 ? inRegion : routers).map(({id}) => id);
	}

	function emitIfChanged(): void {
		const current = JSON.stringify([getRouters(), [...leavingEndpoints]]);
		if (current === lastSnapshot) {
			return;
		}

		lastSnapshot = current;
		void events.emit('changed');
	}

	async function readList(vmList: NonNullable<MembershipOptions['vmList']>): Promise<void> {
		const result = await vmList.read();
		if (result.isErr()) {
			options.metrics.increment('membership.read-failures');
			return;
		}

		const others = result.value.filter(({id}) => id !== options.self.id);
		vms = [options.self, ...others];
		leavingEndpoints = new Set(others.filter(({role, state}) => role === 'endpoint' && state === 'leaving').map(({id}) => id));
		const listed = new Set(vms.map(({id}) => id));
		for (const node of leavingNodes) {
			if (!listed.has(node)) {
				leavingNodes.delete(node);
			}
		}

		emitIfChanged();
	}

	async function readListAgain(vmList: NonNullable<MembershipOptions['vmList']>): Promise<void> {
		await readList(vmList);
		startTimer(vmList);
	}

	function startTimer(vmList: NonNullable<MembershipOptions['vmList']>): void {
		if (isClosed) {
			return;
		}

		const delayMs = options.pollMs * (1 + ((Math.random() - 0.5) * jitterFraction));
		timer = setTimeout(() => {
			void readListAgain(vmList);
		}, delayMs);
		timer.unref();
	}

	return {
		events,
		async start() {
			if (options.vmList === undefined) {
				return;
			}

			await readList(options.vmList);
			startTimer(options.vmList);
		},
		routers: getRouters,
		others: () => vms.filter(({id, role}) => role === 'router' && id !== options.self.id).map(({id}) => id),
		findAddress: node => vms.find(({id}) => id === node)?.address,
		leavingEndpoints: () => leavingEndpoints,
		suspect(node) {
			suspects.set(node, Date.now());
			emitIfChanged();
		},
		trust(node) {
			if (suspects.delete(node)) {
				emitIfChanged();
			}
		},
		markLeaving(node) {
			leavingNodes.add(node);
			emitIfChanged();
		},
		async close() {
			isClosed = true;
			clearTimeout(timer);
			await options.vmList?.close();
		},
	};
}
