import {hashRequest} from '@valvesaddle/quarantine';
import type {CrashRecord} from './crash-record.ts';
import type {ForwardRequest} from './forward-request.ts';
import type {ForwarderOptions} from './forwarder-options.ts';

/**
 Creates the crash record of one request.

 @example
 const crashes = createCrashRecord(options, request);
 crashes.isQuarantined(); // false
 */
export function createCrashRecord({quarantine, crashDetector}: Pick<ForwarderOptions, 'quarantine' | 'crashDetector'>, request: ForwardRequest): CrashRecord {
	/**
	Incarnations whose connections broke within this request.
	*/
	const broken = new Set<string>();
	let digest: string | undefined;
	let isOnTrial = false;

	function getDigest(): string {
		digest ??= hashRequest({...request, host: request.route.host, account: request.account?.name});
		return digest;
	}

	function hasCrashes(): boolean {
		return broken.size > 0 || !quarantine.isEmpty();
	}

	return {
		getDigest,
		isQuarantined: () => !isOnTrial && hasCrashes() && quarantine.isQuarantined(getDigest(), broken),
		takeTrial() {
			isOnTrial = quarantine.takeTrial(getDigest());
			return isOnTrial;
		},
		getIsolationKey: () => !quarantine.isEmpty() && quarantine.isSuspect(getDigest()) ? getDigest() : undefined,
		recordBroken(incarnation) {
			isOnTrial = false;
			broken.add(incarnation);
			crashDetector.recordBroken(incarnation, getDigest());
		},
		recordAnswered() {
			quarantine.recordAnswered(getDigest());
		},
	};
}
