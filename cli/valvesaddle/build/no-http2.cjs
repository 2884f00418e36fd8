/**
 Replaces the HTTP/2 client of `undici` in the bundle of a gateway node, which only uses HTTP/1.1. Loading `node:http2` would cost
 startup time and memory.
 */
'use strict';

const throwMissing = () => {
	throw new TypeError('HTTP/2 is not part of the program');
};

module.exports = throwMissing;
