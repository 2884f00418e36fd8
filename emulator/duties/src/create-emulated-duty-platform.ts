import type {DutyAnswer, DutyProof} from '@valvesaddle/duty-types';
import type {ReplicaCount} from '@valvesaddle/duty-scaling';
import type {PausedRuntime} from '@valvesaddle/emulator-beliefs';
import type {DutyCall} from './duty-call.ts';
import type {EmulatedDutyPlatform} from './emulated-duty-platform.ts';
import type {FaultSchedule} from './fault-schedule.ts';

type PlatformOptions = {
	readonly runtime: PausedRuntime;
	readonly faults: FaultSchedule;
	readonly random: () => number;
	/**
	Data centre that the fault `no-spot` affects.
	*/
	readonly noSpotDataCentre: string;
	readonly initialReplicas: readonly ReplicaCount[];
};

type Call = {
	readonly node: number;
	readonly proof: DutyProof;
	readonly subject: string;
	readonly carryOut: () => boolean;
};

const answerMs = 6;
const timeoutMs = 1200;
const maximumDelayMs = 4000;
const lostShare = 0.4;
const bootMs = 4000;

/**
 Creates an emulated platform. It refuses a call whose fencing token is lower than one it has seen for the same subject when the
 call is processed.

 @example
 const platform = createEmulatedDutyPlatform({runtime, faults, random, noSpotDataCentre: 'a', initialReplicas: []});
 */
export function createEmulatedDutyPlatform({runtime, faults, random, noSpotDataCentre, initialReplicas}: PlatformOptions): EmulatedDutyPlatform {
	const calls: DutyCall[] = [];
	const reports = new Map<number, Set<string>>();
	const tokens = new Map<string, number>();
	const replicas = new Map(initialReplicas.map(one => [toKey(one), one]));

	function applyCall({node, proof, subject, carryOut}: Call): DutyAnswer {
		const isStale = proof.token < (tokens.get(subject) ?? 0);
		tokens.set(subject, Math.max(proof.token, tokens.get(subject) ?? 0));
		const isAccepted = !isStale && carryOut();
		calls.push({
			at: runtime.now(), node, token: proof.token, subject, isAccepted, isStale,
		});
		return isAccepted ? 'accepted' : 'refused';
	}

	async function send(call: Call): Promise<DutyAnswer> {
		const {node} = call;
		const arrivesAt = Math.max(faults.findEnd('freeze', node), runtime.now()) + (answerMs / 2);
		const {promise, resolve} = Promise.withResolvers<DutyAnswer>();
		runtime.add(arrivesAt, () => {
			if (faults.isActive('platform-busy')) {
				resolve('busy');
			} else if (faults.isActive('platform-loses') && random() < lostShare) {
				runtime.add(arrivesAt + (random() * maximumDelayMs), () => {
					applyCall(call);
				});
				runtime.add(arrivesAt + timeoutMs, () => {
					resolve('unknown');
				});
			} else {
				const answer = applyCall(call);
				runtime.add(arrivesAt + (answerMs / 2), () => {
					resolve(answer);
				});
			}
		});
		return promise;
	}

	function updateSpot(): void {
		if (faults.isActive('no-spot')) {
			replicas.delete(toKey({dataCentre: noSpotDataCentre, isSpot: true}));
		}

		runtime.add(runtime.now() + 100, updateSpot);
	}

	updateSpot();

	return {
		calls,
		reports,
		listReplicas: () => replicas.values().filter(({count}) => count > 0).toArray(),
		connect: node => ({
			reportUsage: async ({window, counts}, proof) => send({
				node, proof, subject: 'usage', carryOut() {
					const contents = reports.get(window) ?? new Set<string>();
					reports.set(window, contents.add(JSON.stringify(counts)));
					return true;
				},
			}),
			orderReplicas: async ({pool, dataCentre, isSpot, count}, proof) => send({
				node, proof, subject: `${pool} ${dataCentre}`, carryOut() {
					if (isSpot && dataCentre === noSpotDataCentre && faults.isActive('no-spot')) {
						return false;
					}

					const key = toKey({dataCentre, isSpot});
					const previous = replicas.get(key)?.count ?? 0;
					runtime.add(runtime.now() + (count > previous ? bootMs : 0), () => {
						replicas.set(key, {dataCentre, isSpot, count});
					});
					return true;
				},
			}),
			async close() {
				// There are no connections to close.
			},
		}),
	};
}

function toKey({dataCentre, isSpot}: Pick<ReplicaCount, 'dataCentre' | 'isSpot'>): string {
	return `${dataCentre} ${isSpot}`;
}
