import {hashKey} from '@valvesaddle/access';
import type {Configuration} from '@valvesaddle/types';
import {designSize} from './design-size.ts';

const regions = 4;
/**
Models that an account is bound to, in each region.
*/
const modelsPerAccount = 4;

/**
 A configuration of the size designed for, or of a part of it.

 @example
 createFullConfiguration(1).accounts.length; // 680
 */
export function createFullConfiguration(part: number): Configuration {
	const scale = (count: number): number => Math.max(1, Math.round(count * part));
	const pools = Array.from({length: scale(designSize.pools)}, (_, index) => ({
		name: `model-${index % designSize.models}.region-${index % regions}.${index}`, kind: 'engine' as const, model: `model-${index}`, region: `region-${index % regions}`, repeatable: true, interTokenTargetMs: 52, dispatchers: 1,
	}));
	const accounts = Array.from({length: scale(designSize.accounts)}, (_, index) => ({
		name: `client-account-${index}`, keyHashes: [hashKey(`key-${index}`)], weight: 1, maximumOpen: 0,
	}));
	const classNames = Array.from({length: designSize.classes}, (_, index) => `tier-${index}`);
	return {
		classes: classNames.map((name, priority) => ({
			name, priority, urgent: priority === 0, firstTokenTargetMs: 830 * (priority + 1), maximumWaitMs: 830 * (priority + 1), weight: 1, floor: 0.02,
		})),
		accounts,
		pools,
		endpoints: Array.from({length: scale(designSize.replicas)}, (_, index) => ({
			id: `replica-${index}.data-centre-${index % 8}`, pool: pools[index % pools.length]!.name, url: `http://10.${index % 8}.${Math.floor(index / 200)}.${index % 200}:8000`, dataCentre: `data-centre-${index % 8}`, initialLimit: 16, leaving: false,
		})),
		bindings: accounts.flatMap(({name}, index) => Array.from({length: Math.min(pools.length, modelsPerAccount * regions)}, (_, offset) => ({
			account: name, pool: pools[(index + offset) % pools.length]!.name, classes: classNames,
		}))),
	};
}
