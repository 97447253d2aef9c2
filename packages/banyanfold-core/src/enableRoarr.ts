/**
 * roarr reads ROARR_LOG when it is imported, so this module must be imported
 * before it. Otherwise the daemons log nothing.
 */
process.env['ROARR_LOG'] = 'true';
