/** ESLint rule: nothing outside platform/ and deploy/ imports from there or knows the names of the platform's wire. */

const NAMES = /rows-(tx|get|feed|parts)|blob-(put|get|drop|list)|X-Lease-Holder|X-Fencing-Token|\b(routeType|maxStalenessMs|targetLatencyMs|syncReplicas|maxConns|txIdleMs|dbRole|coldLeftMs|requireFencing|cloudApi|listenAddrs|nodeName|configApplyMs|DATAROW|LAGGING|MISROUTED|INDOUBT|CONNLIMIT|NOSUCHSTMT|NODB|STEPDOWN|DEALLOC|AGATEPOND_CONFIG)\b/
const FOLDER = /(^|\/)(platform|deploy)\/[^/]*$/
/** The product's own folder of that name. */
const OWN_FOLDER = /shell\/platform\/|^\.\/|^\.\.\/platform\//

const RULE = {
  meta: { type: 'problem', schema: [], messages: { name: '"{{name}}" is the platform\'s own name; decode it in platform/ into a typed value', module: 'depend on an interface of the product; platform/ implements it' } },
  create (context) {
    const isInShell = context.filename.includes('/src/shell/')
    const check = (node, text) => {
      const found = NAMES.exec(text)
      if (found !== null) context.report({ node, messageId: 'name', data: { name: found[0] } })
    }
    return {
      ImportDeclaration (node) {
        const from = node.source.value
        const isOwn = OWN_FOLDER.test(from) && (isInShell || from.includes('shell/platform/'))
        if (FOLDER.test(from) && !isOwn) context.report({ node, messageId: 'module' })
      },
      Identifier (node) { check(node, node.name) },
      Literal (node) { if (typeof node.value === 'string') check(node, node.value) },
      TemplateElement (node) { check(node, node.value.raw) }
    }
  }
}

export default { rules: { 'platform-names': RULE } }
