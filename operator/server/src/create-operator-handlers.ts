import type {HandlerContext, ServiceImpl} from '@connectrpc/connect';
import {compareConfigurations, emptyConfiguration} from '@valvesaddle/config-schema';
import {unwrapResult, ValvesaddleError} from '@valvesaddle/error';
import {authorizeOperator, type Operator, type OperatorRole} from '@valvesaddle/operator-access';
import type {OperatorService} from '@valvesaddle/operator-schema';
import {fromConfigurationMessage} from './from-configuration-message.ts';
import type {OperatorServerOptions} from './operator-server-options.ts';
import {toConfigurationMessage} from './to-configuration-message.ts';
import {toConnectError} from './to-connect-error.ts';

const changeIdPattern = /^[\w\-.]{1,100}$/v;

/**
 Creates the handlers of the operator API. Each call is authorized and counted.

 @example
 router.service(OperatorService, createOperatorHandlers(options));
 */
export function createOperatorHandlers(options: OperatorServerOptions): ServiceImpl<typeof OperatorService> {
	const {store, follower, metrics} = options;

	async function handle<Reply>(name: string, role: OperatorRole, context: HandlerContext, run: (operator: Operator) => Promise<Reply>): Promise<Reply> {
		metrics.increment('operators.calls', 1, {call: name});
		try {
			const authorization = context.requestHeader.get('authorization') ?? undefined;
			const operator = unwrapResult(authorizeOperator(options.operators, authorization, role));
			return await run(operator);
		} catch (error) {
			metrics.increment('operators.refused', 1, {call: name});
			throw toConnectError(error);
		}
	}

	return {
		getConfiguration: async (_request, context) => handle('get-configuration', 'viewer', context, async () => {
			const record = follower.record();
			return {
				revision: record?.revision ?? 0,
				changeId: record?.changeId ?? '',
				author: record?.author ?? '',
				configuration: toConfigurationMessage(record?.configuration ?? emptyConfiguration),
			};
		}),
		applyConfiguration: async (request, context) => handle('apply-configuration', 'editor', context, async operator => {
			if (!changeIdPattern.test(request.changeId)) {
				throw new ValvesaddleError('ERR_VALVESADDLE_CONFIGURATION_INVALID', 'change_id: expected 1 to 100 letters, digits, ".", "_" or "-"');
			}

			if (request.configuration === undefined) {
				throw new ValvesaddleError('ERR_VALVESADDLE_CONFIGURATION_INVALID', 'configuration: is missing');
			}

			const configuration = unwrapResult(fromConfigurationMessage(request.configuration));
			const differences = [...compareConfigurations(follower.configuration(), configuration)];
			if (request.dryRun) {
				return {revision: request.expectedRevision + 1, differences};
			}

			const record = unwrapResult(await store.apply({
				changeId: request.changeId, expectedRevision: request.expectedRevision, configuration, author: operator.name,
			}));
			// A change that was already applied returns its original revision and the latest configuration.
			if (record.configuration === configuration) {
				follower.offer(record, 'operator');
			}

			return {revision: record.revision, differences};
		}),
		getRevision: async (request, context) => handle('get-revision', 'viewer', context, async () => {
			const record = unwrapResult(await store.readRevision(request.revision));
			if (record === undefined) {
				throw new ValvesaddleError('ERR_VALVESADDLE_NOT_FOUND', `revision ${request.revision} is not known`);
			}

			return {
				revision: record.revision, changeId: record.changeId, author: record.author, configuration: toConfigurationMessage(record.configuration),
			};
		}),
		getStatus: async (_request, context) => handle('get-status', 'viewer', context, async () => {
			const status = options.status();
			return {
				...status,
				members: [...status.members],
				pools: status.pools.map(pool => ({
					...pool,
					endpoints: pool.endpoints.map(endpoint => ({...endpoint, interTokenMs: endpoint.interTokenMs ?? 0})),
				})),
			};
		}),
		drainNode: async (_request, context) => handle('drain-node', 'editor', context, async () => {
			const {openRequests} = options.status();
			options.drain();
			return {openRequests};
		}),
	};
}
