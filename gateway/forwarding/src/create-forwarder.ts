import {createForwardTask} from './create-forward-task.ts';
import type {Forwarder} from './forwarder.ts';
import type {ForwarderOptions} from './forwarder-options.ts';

/**
 Creates the forwarder of a node.

 @example
 const forwarder = createForwarder({wire, selector, exchanges, budget, waits: createWaitBaselines(), admission, logger, metrics});
 const task = forwarder.forward(request, reply);
 */
export function createForwarder(options: ForwarderOptions): Forwarder {
	let open = 0;

	return {
		forward(request, reply) {
			open++;
			options.budget.earn(request.pool, request.route.priority);
			return createForwardTask(options, {
				request,
				reply,
				onEnd() {
					open--;
				},
			});
		},
		countOpen: () => open,
	};
}
