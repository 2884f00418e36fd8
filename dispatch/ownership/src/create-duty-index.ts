import {hash} from 'node:crypto';
import type {Configuration, Pool} from '@valvesaddle/types';
import type {DutyIndex} from './duty-index.ts';

/**
Separates the pool's name from the shard's number; not allowed in the name of a pool.
*/
const shardSeparator = '#';
const hashDigits = 8;

/**
 Creates the index of the dispatcher shards of a configuration.

 @example
 createDutyIndex(configuration).chooseDuty('drafting', 'session-7'); // 'drafting', or 'drafting#2'
 */
export function createDutyIndex(configuration: Configuration): DutyIndex {
	const pools = new Map(configuration.pools.map(pool => [pool.name, pool]));
	const endpoints = Map.groupBy(configuration.endpoints, ({pool}) => pool);

	function findDuty(pool: string, endpointId: string): string {
		return toDuty(pools.get(pool), pool, endpointId);
	}

	return {
		chooseDuty(pool, key) {
			const inPool = endpoints.get(pool) ?? [];
			const chosen = inPool[toNumber(key) % Math.max(1, inPool.length)];
			return findDuty(pool, chosen?.id ?? key);
		},
		chooseOther(pool, duty) {
			const count = pools.get(pool)?.dispatchers ?? 1;
			if (count === 1) {
				return undefined;
			}

			const number = Number(duty.slice(pool.length + shardSeparator.length));
			return `${pool}${shardSeparator}${(number + 1) % count}`;
		},
		findDuty,
		getConfiguration(duty) {
			const name = findPool(duty);
			return {...configuration, endpoints: (endpoints.get(name) ?? []).filter(({pool, id}) => findDuty(pool, id) === duty)};
		},
		isDuty(duty) {
			const pool = pools.get(findPool(duty));
			const number = Number(duty.split(shardSeparator)[1] ?? 0);
			return pool !== undefined && (pool.dispatchers === 1) === !duty.includes(shardSeparator) && number < pool.dispatchers;
		},
		findPool,
	};
}

function findPool(duty: string): string {
	const index = duty.indexOf(shardSeparator);
	return index === -1 ? duty : duty.slice(0, index);
}

function toDuty(pool: Pool | undefined, name: string, key: string): string {
	return pool === undefined || pool.dispatchers === 1 ? name : `${name}${shardSeparator}${toNumber(key) % pool.dispatchers}`;
}

function toNumber(key: string): number {
	return Number.parseInt(hash('md5', key).slice(0, hashDigits), 16);
}
