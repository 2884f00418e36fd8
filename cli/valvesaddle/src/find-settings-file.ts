const settingsOption = '--settings';

/**
 Settings file in the arguments of `gateway`, `undefined` without one.

 @example
 findSettingsFile(['gateway', '--settings', 'gateway.toml']); // 'gateway.toml'
 */
export function findSettingsFile(argv: readonly string[]): string | undefined {
	const index = argv.indexOf(settingsOption);
	return index === -1 ? undefined : argv[index + 1];
}
