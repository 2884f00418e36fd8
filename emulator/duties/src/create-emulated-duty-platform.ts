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
	Data centre that a fault of spot replicas strikes.
	*/
	readonly dryDataCentre: string;
	readonly first: readonly ReplicaCount[];
};

type Call = {
	readonly machine: number;
	readonly proof: DutyProof;
	readonly subject: string;
	readonly carryOut: () => boolean;
};

const answerMs = 6;
const timeoutMs = 1200;
const latestMs = 4000;
const lostShare = 0.4;
const bootMs = 4000;

/**
 Creates an emulated platform: it refuses a token that is lower than one it has seen for the subject, at the time at which a call
 is carried out.

 @example
 const platform = createEmulatedDutyPlatform({runtime, faults, random, dryDataCentre: 'a', first: []});
 */
export function createEmulatedDutyPlatform({runtime, faults, random, dryDataCentre, first}: PlatformOptions): EmulatedDutyPlatform {
	const calls: DutyCall[] = [];
	const reports = new Map<number, Set<string>>();
	const tokens = new Map<string, number>();
	const replicas = new Map(first.map(one => [toKey(one), one]));

	function applyCall({machine, proof, subject, carryOut}: Call): DutyAnswer {
		const isOutdated = proof.token < (tokens.get(subject) ?? 0);
		tokens.set(subject, Math.max(proof.token, tokens.get(subject) ?? 0));
		const isAccepted = !isOutdated && carryOut();
		calls.push({
			at: runtime.now(), node: machine, token: proof.token, subject, isAccepted, isStale: isOutdated,
		});
		return isAccepted ? 'accepted' : 'refused';
	}

	async function send(call: Call): Promise<DutyAnswer> {
		const {machine} = call;
		const arrivesAt = Math.max(faults.findEnd('freeze', machine), runtime.now()) + (answerMs / 2);
		const {promise, resolve} = Promise.withResolvers<DutyAnswer>();
		runtime.add(arrivesAt, () => {
			if (faults.isActive('platform-busy')) {
				resolve('busy');
			} else if (faults.isActive('platform-loses') && random() < lostShare) {
				runtime.add(arrivesAt + (random() * latestMs), () => {
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
			replicas.delete(toKey({dataCentre: dryDataCentre, isSpot: true}));
		}

		runtime.add(runtime.now() + 100, updateSpot);
	}

	updateSpot();

	return {
		calls,
		reports,
		listReplicas: () => replicas.values().filter(({count}) => count > 0).toArray(),
		connect: machine => ({
			reportUsage: async ({window, counts}, proof) => send({
				machine, proof, subject: 'usage', carryOut() {
					const contents = reports.get(window) ?? new Set<string>();
					reports.set(window, contents.add(JSON.stringify(counts)));
					return true;
				},
			}),
			orderReplicas: async ({pool, dataCentre, isSpot, count}, proof) => send({
				machine, proof, subject: `${pool} ${dataCentre}`, carryOut() {
					if (isSpot && dataCentre === dryDataCentre && faults.isActive('no-spot')) {
						return false;
					}

					const key = toKey({dataCentre, isSpot});
					const before = replicas.get(key)?.count ?? 0;
					runtime.add(runtime.now() + (count > before ? bootMs : 0), () => {
						replicas.set(key, {dataCentre, isSpot, count});
					});
					return true;
				},
			}),
			async close() {
				// It has no connections.
			},
		}),
	};
}

function toKey({dataCentre, isSpot}: Pick<ReplicaCount, 'dataCentre' | 'isSpot'>): string {
	return `${dataCentre} ${isSpot}`;
}
