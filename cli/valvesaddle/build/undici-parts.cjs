/**
 Stands for `undici` in the bundle of a gateway node: each part is loaded when it is first used, and what a gateway never uses, two
 thirds of the library, stays out.
 */
'use strict';

const parts = {
	Client: () => require('undici/lib/dispatcher/client.js'),
	Pool() {
		const Dispatcher = require('undici/lib/dispatcher/dispatcher.js');
		// The library's index adds it in the same way.
		Dispatcher.prototype.request ??= require('undici/lib/api/api-request.js');
		return require('undici/lib/dispatcher/pool.js');
	},
	buildConnector: () => require('undici/lib/core/connect.js'),
};

for (const [name, load] of Object.entries(parts)) {
	Object.defineProperty(module.exports, name, {enumerable: true, get: load});
}
