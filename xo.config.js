/**
Names that a file takes over from a format on the wire or on disk.
*/
const wireNames = [
	'**/*-schema.ts',
	'**/*-body.ts',
	'config/settings/**',
	'core/error/src/error-table.ts',
	'platform/kv/**',
	'endpoint/engine/**',
	'caller/api/**',
	'cli/valvesaddle/src/send-chat.ts',
	'fakes/**',
	'bench/**',
	'operator/server/src/to-connect-error.ts',
	'node/router/src/create-router.ts',
	'**/test/**',
	'cli/valvesaddle/build.ts',
];

export default [
	{
		ignores: ['operator/schema/src/generated/**', 'dist/**', '.tap/**', 'bench/results/**'],
	},
	{
		files: wireNames,
		rules: {'@typescript-eslint/naming-convention': 'off'},
	},
	{
		// Zod and fast-check build a form by nesting calls.
		files: ['**/*-schema.ts', '**/test/**', 'config/schema/**', 'cli/valvesaddle/src/send-chat.ts', 'endpoint/engine/src/read-chunk.ts', 'platform/**'],
		rules: {'unicorn/max-nested-calls': 'off'},
	},
	{
		// Tap's `test` runs by itself; test tools are installed at the root.
		files: ['**/test/**'],
		rules: {
			'@typescript-eslint/no-floating-promises': 'off',
			'unicorn/no-await-expression-member': 'off',
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
			'node-test/no-import-test-files': 'off',
		},
	},
	{
		// Clipanion declares commands with functions that begin with a capital.
		files: ['cli/**'],
		rules: {'new-cap': 'off'},
	},
	{
		// Programs: they end by themselves, and are built with tools of the root.
		files: ['cli/**', 'bench/**'],
		rules: {'unicorn/no-process-exit': 'off', 'import-x/no-extraneous-dependencies': 'off'},
	},
	{
		// The packages are private and built together: exact versions, one engine, exports that the workspace resolves.
		files: ['**/package.json'],
		rules: {
			'package-json/no-wildcard-dependencies': 'off',
			'package-json/dependency-version-range': 'off',
			'package-json/no-nested-exports': 'off',
			'package-json/prefer-side-effects-field': 'off',
			'package-json/require-engines': 'off',
			'package-json/no-orphan-types': 'off',
		},
	},
];
