/** The style sheet of the report page, for light and dark mode. */

export const style = `
:root { color-scheme: light dark; --page: #fafaf8; --card: #ffffff; --text: #1d2326; --muted: #5b666c; --line: #d9dedf;
  --within: #2f7d8c; --over: #c2410c; --no-data: #b9c0c3; --limit: #7a3b12 }
@media (prefers-color-scheme: dark) {
  :root { --page: #14181a; --card: #1d2326; --text: #e8ecec; --muted: #a3aeb2; --line: #353e42;
    --within: #5bb8c7; --over: #ff8a4c; --no-data: #566065; --limit: #ffb68a }
}
body { margin: 0 auto; padding: 24px; max-width: 1360px; background: var(--page); color: var(--text);
  font: 15px/1.5 system-ui, sans-serif }
h1 { font-size: 24px; margin: 0 0 4px }
h2 { font-size: 18px; margin: 0 }
p { margin: 0 0 4px; color: var(--muted) }
p.warning { color: var(--over); font-weight: 600 }
section { background: var(--card); border: 1px solid var(--line); border-radius: 8px; padding: 16px; margin-top: 16px }
table { border-collapse: collapse; margin: 12px 0; font-variant-numeric: tabular-nums }
th, td { padding: 4px 14px 4px 0; text-align: right; border-bottom: 1px solid var(--line) }
th { color: var(--muted); font-weight: 600 }
th:first-child, td:first-child { text-align: left }
td.over { color: var(--over); font-weight: 600 }
.charts { display: flex; flex-wrap: wrap; gap: 16px }
.charts svg { flex: 1 1 480px; min-width: 0; max-width: 660px; height: auto }
svg text { fill: var(--muted); font-size: 11px }
svg .chart-title { fill: var(--text); font-size: 13px; font-weight: 600 }
svg .limit-label { fill: var(--limit) }
svg .none { font-size: 16px }
svg .grid { stroke: var(--line); stroke-width: 1 }
svg .limit { stroke: var(--limit); stroke-width: 1.5; stroke-dasharray: 5 4 }
svg .within { fill: var(--within) }
svg .over { fill: var(--over) }
svg .no-data { fill: var(--no-data) }
`
