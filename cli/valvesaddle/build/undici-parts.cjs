/**
 Replaces `undici` in the bundle of a gateway node: loads each part on first use and leaves out what a gateway never uses.
 */
'use strict';

const parts = {
	Client: () => require('undici/lib/dispatcher/client.js'),
	Pool() {
		const Dispatcher = require('undici/lib/dispatcher/dispatcher.js');
		// As in the index of `undici`.
		Dispatcher.prototype.request ??= require('undici/lib/api/api-request.js');
		return require('undici/lib/dispatcher/pool.js');
	},
	buildConnector: () => require('undici/lib/core/connect.js'),
};

for (const [name, load] of Object.entries(parts)) {
	Object.defineProperty(module.exports, name, {enumerable: true, get: load});
}
